#pragma once

#include "core/net/endpoint.h"
#include "core/routing/request.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornspar::routing {

/// Identifies a call to a runner within an entry; never reused.
using call_token = std::uint64_t;

// Actions of the engine. Each run_call, query_call and ping_call completes exactly once.

struct run_call {
    call_token token = 0;
    std::string runner;
    net::endpoint address;
    std::string service;
    std::string request_id;
    duration remaining{0};
    unsigned attempt = 1;
    bool idempotent = false;
    request_body body;
    std::string content_type;
    /// When set, a runner of another incarnation refuses the request as cancelled.
    std::string expected_incarnation;
};

enum class query_kind { ask, cancel, fetch };

/// Queries the state of a request, cancels it, or fetches its stored answer, over a new connection.
struct query_call {
    call_token token = 0;
    query_kind kind = query_kind::ask;
    std::string runner;
    net::endpoint address;
    std::string request_id;
};

/// Application-level probe over a new connection.
struct ping_call {
    call_token token = 0;
    std::string runner;
    net::endpoint address;
};

/// Ends a run call and closes its connection; the call then completes as lost.
struct abandon_call {
    call_token token = 0;
};

/// Closes the idle connections to a runner, because they may no longer deliver data.
struct replace_connections {
    net::endpoint address;
};

/// The answer to a submission. reason is set unless the outcome is ran.
struct caller_answer {
    std::uint64_t key = 0;
    run_outcome outcome = run_outcome::unknown;
    std::optional<refusal_reason> reason;
    unsigned status = 0;
    std::string body;
    std::string content_type;
    std::string runner;
};

/// Number of slots of one runner.
struct slot_count {
    std::string runner;
    std::uint32_t slots = 0;
};

/// How many slots of a service the sender could use now. Sent to the owners of the runners.
struct slot_demand {
    std::string service;
    std::string region;
    double wanted = 0;
};

/// Slots of the sender's runners that the receiver may use. Replaces earlier counts for the same
/// runners. A grant expires after slot_grant_lifetime unless it is renewed.
struct slot_grant {
    std::string service;
    std::vector<slot_count> counts;
};
inline constexpr duration slot_grant_lifetime = std::chrono::seconds(10);

struct peer_message {
    /// Entry id of the sender in a received message, of the receiver in an action.
    std::string entry;
    std::variant<slot_demand, slot_grant> content;
};

using action = std::variant<run_call, query_call, ping_call, abandon_call, replace_connections,
                            caller_answer, peer_message>;

// Results of calls.

enum class run_result_kind {
    answered, // the runner ran the request and the answer is complete
    refused,  // the runner stated that the request did not run there
    not_sent, // no byte of the request has reached the runner
    lost,     // the request may have reached the runner
};

/// Load and identity that a runner reports with each response.
struct runner_report {
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> slots_free;
    /// Changes when the runner restarts; empty when the runner does not report it.
    std::string incarnation;
    /// Time since the runner started; empty when the runner does not report it.
    std::optional<duration> uptime;
};

struct run_result {
    call_token token = 0;
    run_result_kind kind = run_result_kind::lost;
    std::string request_id;
    runner_refusal refusal = runner_refusal::full;
    unsigned status = 0;
    std::string body;
    std::string content_type;
    runner_report report;
    /// not_sent only: a new connection could not be established.
    bool unreachable = false;
};

struct query_result {
    call_token token = 0;
    /// Empty when the runner did not respond.
    std::optional<run_state> state;
    std::string request_id;
    /// fetch only: the stored answer.
    unsigned status = 0;
    std::string body;
    std::string content_type;
    runner_report report;
};

struct ping_result {
    call_token token = 0;
    bool answered = false;
    runner_report report;
};

} // namespace buckthornspar::routing
