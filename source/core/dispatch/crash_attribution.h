#pragma once

#include "core/common/clock.h"
#include "core/common/name_table.h"
#include "core/dispatch/worker_registry.h"

#include <map>
#include <vector>

namespace buckthornspar::dispatch {

/// What shows that a worker is lost.
enum class loss_evidence {
    silent,    ///< it does not answer
    refused,   ///< it refuses connections: its process has ended
    restarted, ///< it has begun a new incarnation
    removed,   ///< it does not answer and has left the instance list
};
inline constexpr common::name_table<loss_evidence, 4> loss_evidence_names{
    "loss evidence", {"silent", "refused", "restarted", "removed"}};

/// Which runs may have crashed a worker, and how suspected tasks are started.
struct crash_settings {
    /// Runs whose orders are this close are suspected together: the orders may reach the worker in
    /// any sequence.
    common::duration window = std::chrono::milliseconds(300);
    /// A run that was older than this when its worker crashed is not suspected, and a suspected
    /// task whose run gets older is cleared.
    common::duration max_age = std::chrono::milliseconds(10000);
    /// Nothing else is started on the worker of a suspected task for this time after its start.
    common::duration isolation = std::chrono::milliseconds(1500);
    /// Workers that become silent within this time of each other, this many besides the one in
    /// question, have a common cause: a rack, a switch, a shared service.
    common::duration common_cause_window = std::chrono::milliseconds(50);
    std::size_t common_cause_workers = 4;
    /// The same for workers that do not answer: each is noticed with its next poll.
    common::duration silence_window = std::chrono::milliseconds(1500);
    /// A connection that fails within this time was refused: the process has ended.
    common::duration refusal_time = std::chrono::milliseconds(150);
    /// Crashes of a task's workers after which it is given up, if the last one can have no task of
    /// another job as its cause.
    unsigned attributed_limit = 2;
    /// The same if it can, or with those crashes before which the start was not confirmed.
    unsigned ambiguous_limit = 3;
    /// The same with the losses of workers that were only silent. These may have been cut off.
    unsigned silence_limit = 4;
};

/// The runs that may have crashed their worker, which became silent at the given time: those that
/// it confirmed last, and the first ones that it did not confirm. Runs that a former crash already
/// counts are left out.
[[nodiscard]] std::vector<run_key> attribute_crash(const std::map<run_key, placed_run>& runs,
                                                   common::time_point crashed_at,
                                                   const crash_settings& settings);

} // namespace buckthornspar::dispatch
