#pragma once

#include "core/common/counters.h"
#include "core/common/rng.h"
#include "core/membership/instance_list.h"
#include "core/routing/pending_request.h"
#include "core/routing/retry_budget.h"
#include "core/routing/routing_messages.h"
#include "core/routing/service_route.h"

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornspar::routing {

struct engine_settings {
    /// setup.service is ignored: the engine sets it for the route of each service.
    route_settings route;
    retry_limits retries;
    std::size_t max_per_caller = 500;
    /// An answer is overdue after this time or four mean service times, whichever is longer. The
    /// engine then queries the state of the request.
    duration overdue_min = std::chrono::milliseconds(500);
    /// How long the engine waits for an answer after the deadline of the request.
    duration answer_grace = std::chrono::milliseconds(100);
    /// How long runners retain request ids: at least the longest deadline of a request. A runner
    /// that started more recently may have lost ids in a restart, so that it cannot rule out an
    /// earlier execution of a repeated request.
    duration id_retention = std::chrono::seconds(60);
    duration idle_probe_period = std::chrono::seconds(5);
    duration suspected_probe_period = std::chrono::milliseconds(500);
};

/// Limits of the configuration in force. A lower limit in the settings takes precedence.
struct operator_limits {
    std::size_t max_per_caller = 0;
    double retry_share = 0;
    double crossing_bytes_per_s = 0;
};

/// Handles the requests of one entry: admission, routing, retries, and settlement of the outcome
/// when a connection was silent or lost. Gives exactly one answer to each submission. Performs no
/// I/O: the user of the class passes the time of each event and executes the actions. Not
/// thread-safe.
class request_engine {
public:
    request_engine(engine_settings settings, common::counters& metrics, std::uint64_t seed);
    ~request_engine();
    request_engine(const request_engine&) = delete;
    request_engine& operator=(const request_engine&) = delete;

    void submit(request r, time_point now);
    void on_run_result(run_result result, time_point now);
    void on_query_result(query_result result, time_point now);
    void on_ping_result(const ping_result& result, time_point now);
    void on_instances(const membership::instance_snapshot& list, time_point now);
    void on_peer_message(const peer_message& message, time_point now);
    void set_limits(const operator_limits& limits);
    /// Refuses new submissions from now on; accepted requests are completed.
    void drain() { m_draining = true; }
    /// Processes expired timers and periodic work. Must be called at next_wakeup() or later.
    void tick(time_point now);

    [[nodiscard]] std::vector<action> take_actions();
    [[nodiscard]] time_point next_wakeup() const;
    /// Number of accepted requests that have not been answered.
    [[nodiscard]] std::size_t unanswered() const { return m_pending.size(); }
    [[nodiscard]] bool draining() const { return m_draining; }
    [[nodiscard]] const service_route* find_route(const std::string& service) const;

private:
    enum class call_kind { run, query, ping };
    struct call_record {
        call_kind kind;
        query_kind query;
        /// Key of the request that waits for the result; 0 when there is none.
        std::uint64_t key;
        service_route* route;
        std::size_t runner;
        time_point sent_at;
    };

    // Admission and dispatch: request_engine.cpp.
    bool admit(const request& r, service_route*& route, time_point now);
    bool join_pending(const request& r);
    void dispatch(service_route& route, time_point now);
    bool dispatch_to_other_region(service_route& route, pending_request& front, time_point now);
    void dispatch_pinned(pending_request& p, time_point now);
    void send(pending_request& p, std::size_t index, time_point now);
    void requeue(pending_request& p, time_point now);
    void back_off(pending_request& p, duration delay, time_point now);
    void retry(pending_request& p, retry_reason reason, time_point now);
    void finish(pending_request& p, caller_answer answer);
    void finish_not_run(pending_request& p, refusal_reason reason);
    void finish_unknown(pending_request& p, refusal_reason reason);
    void refuse_submission(const request& r, refusal_reason reason);
    void set_timer(pending_request& p, time_point at);
    void on_timer(pending_request& p, time_point now);
    void probe_runners(time_point now);
    void tick_policies(time_point now);
    void dispatch_all(time_point now);
    void send_ping(service_route& route, std::size_t index, time_point now);

    // Results of calls and settlement of attempts: request_engine_settlement.cpp.
    void on_answered(pending_request& p, const call_record& call, run_result& result,
                     time_point now);
    void on_refused(pending_request& p, const call_record& call, const run_result& result,
                    time_point now);
    void begin_settlement(pending_request& p, time_point now);
    void check_overdue(pending_request& p, time_point now);
    void continue_settlement(pending_request& p, time_point now);
    void query(pending_request& p, query_kind kind, std::size_t index, time_point now);
    void on_query_state(pending_request& p, const call_record& call, query_result& result,
                        time_point now);
    void on_not_started(pending_request& p, const call_record& call, const query_result& result,
                        time_point now);
    void abandon_run(pending_request& p);
    void apply_health_reaction(service_route& route, std::size_t index, health_reaction reaction);
    void begin_final_fence(pending_request& p, time_point now);
    void begin_fencing(pending_request& p, time_point now);
    void on_fence_result(pending_request& p, const call_record& call, query_result& result,
                         time_point now);
    void send_fences(pending_request& p, time_point now);

    call_token open_call(const call_record& record);
    [[nodiscard]] pending_request* find_pending(std::uint64_t key);
    /// Removes and returns the record of a call; empty when the result is late, duplicate or
    /// unknown.
    std::optional<call_record> close_call(call_token token, call_kind kind);

    engine_settings m_settings;
    common::counters& m_metrics;
    common::rng m_random;
    retry_budget m_budget;
    /// Effective limits: the lower of settings and configuration.
    std::size_t m_max_per_caller;
    double m_crossing_bytes_per_s;
    bool m_draining = false;
    call_token m_next_token = 1;
    std::map<std::string, std::unique_ptr<service_route>> m_routes;
    std::unordered_map<std::uint64_t, std::unique_ptr<pending_request>> m_pending;
    /// Keys of the pending requests by service and request id.
    std::unordered_map<std::string, std::uint64_t> m_by_id;
    std::unordered_map<call_token, call_record> m_calls;
    std::unordered_map<std::string, std::size_t> m_per_caller;
    std::set<std::pair<time_point, std::uint64_t>> m_timers;
    std::vector<peer_entry> m_entries;
    time_point m_next_policy_tick{};
    time_point m_next_probe{};
    time_point m_next_dispatch = time_point::max();
    std::vector<action> m_actions;
};

} // namespace buckthornspar::routing
