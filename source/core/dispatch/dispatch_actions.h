#pragma once

#include "core/dispatch/job.h"
#include "core/dispatch/worker_link.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

namespace buckthornspar::dispatch {

/// A request for tickets, answered by a call of dispatcher::on_advice_result() with the same id.
struct advice_call {
    std::uint64_t id = 0;
    advice_request request;
    /// Expected service time of the call, and the priority of the queue (0 is the most urgent).
    common::duration expected{0};
    int priority = 0;
    /// The job exceeds its customer's rate.
    bool excess = false;
};

/// Calls to the advice service that are expected to take longer than this count as long.
inline constexpr common::duration long_advice_call = std::chrono::milliseconds(250);

/// Number of calls to the advice service that nodes could begin now. A request beyond it would
/// wait, and would name workers that have room now rather than when it is answered.
struct advice_slots {
    std::size_t calls = std::numeric_limits<std::size_t>::max();
    /// How many of these may be long.
    std::size_t long_calls = std::numeric_limits<std::size_t>::max();
};

struct poll_call {
    std::uint64_t id = 0;
    poll_order order;
    /// Another node sends the poll, because the worker did not answer this one.
    bool through_peer = false;
};

/// The new state of a job, which may be shown to callers from now on. A final state has been stored
/// before.
struct state_change {
    std::string job;
    std::string queue;
    job_state state = job_state::queued;
    /// See job_spec.
    std::string accepted_by;
    std::string customer{};
};

/// A worker has accepted a higher fence: another owner has taken over.
struct fenced {
    std::string worker;
};

using dispatch_action =
    std::variant<start_order, stop_order, poll_call, advice_call, state_change, fenced>;

/// A change to the stored records of a job: the progress is written, and if the state is final, the
/// job itself is removed.
struct job_save {
    std::string job;
    bool final = false;
    /// The cancel request of the job is removed along with the job.
    bool cancelled = false;
    std::string progress;
};

/// Changes to be written in one commit. Batches are written in the order of the next_save() calls.
struct save_batch {
    std::vector<job_save> jobs;
    /// Serialized record of the workers that may hold runs; empty when it has not changed.
    std::string workers;
};

} // namespace buckthornspar::dispatch
