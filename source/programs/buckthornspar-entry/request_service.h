#pragma once

#include "core/common/bounded_queue.h"
#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/net/event_loop.h"
#include "core/net/http_server.h"
#include "core/routing/request_engine.h"
#include "core/routing/runner_client.h"
#include "request_settings.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>

namespace buckthornspar::entry {

/// Serves POST /v1/requests/{service}. Owns the decision thread, which passes events to the request
/// engine and executes its actions.
class request_service {
public:
    /// Sends a message of the routing policy to another entry. Called on the decision thread.
    using peer_sender = std::function<void(const routing::peer_message&)>;

    request_service(request_settings settings, net::event_loop& loop, const common::clock& clock,
                    common::counters& metrics, std::unique_ptr<routing::runner_client> runners,
                    peer_sender send_peer);
    /// Before destruction, the event loop must have stopped or all calls to runners must have
    /// completed.
    ~request_service();
    request_service(const request_service&) = delete;
    request_service& operator=(const request_service&) = delete;

    /// Stops the decision thread; requests in progress get no answer. May be called twice.
    void stop();

    // The following functions may be called from any thread.

    void handle(net::http_request request, net::http_reply reply);
    void on_instances(const membership::instance_snapshot& list);
    void on_peer_message(const routing::peer_message& message);
    /// Applies the limits of a new configuration version. Requests are refused until the first
    /// call.
    void on_limits(const routing::operator_limits& limits, common::duration max_deadline);
    void begin_drain();
    [[nodiscard]] std::size_t in_progress() const { return m_in_progress; }

private:
    struct submission {
        routing::request request;
        net::http_reply reply;
    };
    struct drain_request {};
    using event = std::variant<submission, routing::run_result, routing::query_result,
                               routing::ping_result, membership::instance_snapshot,
                               routing::peer_message, routing::operator_limits, drain_request>;
    struct waiting_caller {
        std::string request_id;
        net::http_reply reply;
    };

    void refuse(const routing::request& r, const net::http_reply& reply,
                routing::refusal_reason reason);
    /// Queues an event that must not be lost. Retries while the ring is full.
    void push(event e);
    void run_decision_thread();
    void apply_event(event& e);
    void carry_out(routing::action& a);
    void answer(routing::caller_answer a);

    request_settings m_settings;
    net::event_loop& m_loop;
    const common::clock& m_clock;
    common::counters& m_metrics;
    std::unique_ptr<routing::runner_client> m_runners;
    peer_sender m_send_peer;
    routing::request_engine m_engine;
    common::bounded_queue<event> m_events;
    std::unordered_map<std::uint64_t, waiting_caller> m_callers;
    std::string m_id_prefix;
    std::atomic<std::uint64_t> m_next_key{1};
    std::atomic<std::size_t> m_in_progress{0};
    /// Longest deadline, in microseconds: the lower of settings and configuration.
    std::atomic<common::duration::rep> m_max_deadline_us;
    std::atomic<bool> m_configured{false};
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

} // namespace buckthornspar::entry
