#include "request_service.h"

#include "request_reader.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::entry {

namespace {

// Ring capacity for the results of calls, in addition to that for submissions.
constexpr std::size_t result_capacity = 60'000;
constexpr common::duration ring_full_retry_delay = std::chrono::milliseconds(1);
constexpr common::duration max_wait = std::chrono::milliseconds(50);

} // namespace

request_service::request_service(request_settings settings, net::event_loop& loop,
                                 const common::clock& clock, common::counters& metrics,
                                 std::unique_ptr<routing::runner_client> runners,
                                 peer_sender send_peer)
    : m_settings(std::move(settings)),
      m_loop(loop),
      m_clock(clock),
      m_metrics(metrics),
      m_runners(std::move(runners)),
      m_send_peer(std::move(send_peer)),
      m_engine(m_settings.engine, metrics, static_cast<std::uint64_t>(common::wall_clock_ms())),
      m_events(m_settings.max_queued_submissions + result_capacity),
      m_id_prefix(m_settings.engine.route.setup.entry_id + "-" +
                  std::to_string(common::wall_clock_ms()) + "-"),
      m_max_deadline_us(m_settings.max_deadline.count()),
      m_thread([this] { run_decision_thread(); }) {}

request_service::~request_service() {
    stop();
}

void request_service::stop() {
    m_stopped = true;
    m_events.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void request_service::handle(net::http_request request, net::http_reply reply) {
    if (request.method != net::http_method::post) {
        reply(net::error_response(405, "method_not_allowed", "use POST"));
        return;
    }
    std::optional<request_problem> problem;
    routing::request r = read_request(request, m_settings, common::duration(m_max_deadline_us),
                                      m_clock.now(), problem);
    if (problem) {
        auto response =
            net::error_response(400, "invalid_request", problem->detail, problem->field);
        response.fields.set("X-Outcome", "not_run");
        reply(std::move(response));
        return;
    }
    r.key = m_next_key.fetch_add(1);
    if (r.id.empty()) {
        r.id = m_id_prefix + std::to_string(r.key);
    }
    if (!m_configured) {
        refuse(r, reply, routing::refusal_reason::not_ready);
        return;
    }
    if (m_events.size() >= m_settings.max_queued_submissions) {
        refuse(r, reply, routing::refusal_reason::queue_full);
        return;
    }
    ++m_in_progress;
    event e = submission{std::move(r), std::move(reply)};
    if (!m_events.try_push(e)) {
        --m_in_progress;
        const auto& s = std::get<submission>(e);
        refuse(s.request, s.reply, routing::refusal_reason::queue_full);
    }
}

void request_service::refuse(const routing::request& r, const net::http_reply& reply,
                             routing::refusal_reason reason) {
    m_metrics.get("refusals_total", "reason", routing::to_string(reason)).add();
    routing::caller_answer a;
    a.outcome = r.repeat ? routing::run_outcome::unknown : routing::run_outcome::not_run;
    a.reason = reason;
    reply(to_response(std::move(a), r.id));
}

void request_service::on_instances(const membership::instance_snapshot& list) {
    push(list);
}

void request_service::on_peer_message(const routing::peer_message& message) {
    push(message);
}

void request_service::on_limits(const routing::operator_limits& limits,
                                common::duration max_deadline) {
    m_max_deadline_us = std::min(m_settings.max_deadline, max_deadline).count();
    push(limits);
    m_configured = true;
}

void request_service::begin_drain() {
    push(drain_request{});
}

void request_service::push(event e) {
    if (m_events.try_push(e) || m_stopped) {
        return;
    }
    m_metrics.get("decision_ring_full_total").add();
    m_loop.post_after(ring_full_retry_delay, [this, pending_event = std::make_shared<event>(
                                                        std::move(e))] { push(*pending_event); });
}

void request_service::run_decision_thread() {
    while (!m_stopped) {
        const auto wait = std::clamp<common::duration>(m_engine.next_wakeup() - m_clock.now(),
                                                       common::duration(0), max_wait);
        for (event& e : m_events.pop_all(wait)) {
            apply_event(e);
        }
        if (m_clock.now() >= m_engine.next_wakeup()) {
            m_engine.tick(m_clock.now());
        }
        for (routing::action& a : m_engine.take_actions()) {
            carry_out(a);
        }
    }
}

void request_service::apply_event(event& e) {
    const common::time_point now = m_clock.now();
    if (auto* s = std::get_if<submission>(&e)) {
        m_callers.emplace(s->request.key, waiting_caller{s->request.id, std::move(s->reply)});
        m_engine.submit(std::move(s->request), now);
    } else if (auto* run = std::get_if<routing::run_result>(&e)) {
        m_engine.on_run_result(std::move(*run), now);
    } else if (auto* query = std::get_if<routing::query_result>(&e)) {
        m_engine.on_query_result(std::move(*query), now);
    } else if (const auto* ping = std::get_if<routing::ping_result>(&e)) {
        m_engine.on_ping_result(*ping, now);
    } else if (const auto* list = std::get_if<membership::instance_snapshot>(&e)) {
        m_engine.on_instances(*list, now);
    } else if (const auto* message = std::get_if<routing::peer_message>(&e)) {
        m_engine.on_peer_message(*message, now);
    } else if (const auto* limits = std::get_if<routing::operator_limits>(&e)) {
        m_engine.set_limits(*limits);
    } else {
        m_engine.drain();
    }
}

void request_service::carry_out(routing::action& a) {
    if (auto* done = std::get_if<routing::caller_answer>(&a)) {
        answer(std::move(*done));
    } else if (const auto* run = std::get_if<routing::run_call>(&a)) {
        m_runners->run(*run, [this](routing::run_result r) { push(std::move(r)); });
    } else if (const auto* query = std::get_if<routing::query_call>(&a)) {
        m_runners->query(*query, [this](routing::query_result r) { push(std::move(r)); });
    } else if (const auto* ping = std::get_if<routing::ping_call>(&a)) {
        m_runners->ping(*ping, [this](routing::ping_result r) { push(std::move(r)); });
    } else if (const auto* abandon = std::get_if<routing::abandon_call>(&a)) {
        m_runners->abandon(abandon->token);
    } else if (const auto* replace = std::get_if<routing::replace_connections>(&a)) {
        m_runners->replace_connections(replace->address);
    } else if (const auto* message = std::get_if<routing::peer_message>(&a)) {
        if (m_send_peer) {
            m_send_peer(*message);
        }
    }
}

void request_service::answer(routing::caller_answer a) {
    const auto position = m_callers.find(a.key);
    if (position == m_callers.end()) {
        return;
    }
    const waiting_caller caller = std::move(position->second);
    m_callers.erase(position);
    caller.reply(to_response(std::move(a), caller.request_id));
    --m_in_progress;
}

} // namespace buckthornspar::entry
