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
    fencing,  // a repeat: the id is being cancelled at the other runners
    queued,   // waits for a runner
    backoff,  // waits before a retry
    running,  // sent to a runner
    settling, // the connection was lost; the outcome is determined by request id
};

/// A submission without an answer.
struct pending_request {
    request r;
    service_route* route = nullptr;
    request_phase phase = request_phase::queued;
    time_point submitted{};
    time_point wake_at{};
    /// Other submissions of the same id, which get the same answer.
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

    /// An earlier attempt may have run, so that "not run" would be false.
    bool may_have_run = false;
    /// Runners where the id has been cancelled.
    std::vector<std::size_t> excluded;
    /// A non-idempotent repeat goes to this runner only.
    std::optional<std::size_t> pinned;
    std::string pinned_id;
    std::string pinned_incarnation;
    std::set<std::size_t> unfenced;
};

} // namespace buckthornspar::routing
