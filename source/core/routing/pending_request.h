#pragma once

#include "core/routing/request.h"
#include "core/routing/routing_messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::routing {

class service_route;

enum class request_phase {
    fencing,  // a repeat: the id is being cancelled at all runners except the chosen one
    queued,   // waits for a runner
    backoff,  // waits for the next attempt
    running,  // sent to a runner
    settling, // the answer was lost; the outcome is queried by request id
};

/// A submission that has not been answered.
struct pending_request {
    request r;
    service_route* route = nullptr;
    request_phase phase = request_phase::queued;
    time_point submitted{};
    time_point timer_at{};
    /// Keys of other submissions with the same id, which get the same answer.
    std::vector<std::uint64_t> joined;

    unsigned attempts = 0;
    unsigned backoffs = 0;
    std::size_t runner = 0;
    time_point sent_at{};
    /// The runner's incarnation when the request was sent; empty when unknown.
    std::string incarnation;
    call_token run_token = 0;
    bool run_open = false;
    call_token query_token = 0;
    query_kind next_query = query_kind::cancel;
    duration check_delay{0};
    bool cancel_sent = false;
    bool seen_started = false;

    /// An earlier attempt may have run, so the outcome must not be not_run.
    bool may_have_run = false;
    /// Runners that must not get this request, for example because the id is cancelled there.
    std::vector<std::size_t> excluded;
    /// The only runner to which a non-idempotent repeat may be sent.
    std::optional<std::size_t> pinned;
    std::string pinned_id;
    std::string pinned_incarnation;
    /// Runners that have not confirmed the cancellation, or the state for the pinned runner.
    std::set<std::size_t> unfenced;
};

} // namespace buckthornspar::routing
