#include "routing_simulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace buckthornspar::bench {

namespace {

// Size of a message between entries, with its reply and all headers, and the additional size per
// runner of a slot grant.
constexpr double peer_message_bytes = 450;
constexpr double grant_count_bytes = 40;

std::size_t index_from_id(const std::string& id) {
    return std::stoul(id.substr(1));
}

double bytes_of(const routing::peer_message& message) {
    const auto* grant = std::get_if<routing::slot_grant>(&message.content);
    const std::size_t counts = grant != nullptr ? grant->counts.size() : 0;
    return peer_message_bytes + grant_count_bytes * static_cast<double>(counts);
}

} // namespace

routing::runner_report routing_simulation::report_of(std::size_t runner) const {
    const runner_node& r = m_runners[runner];
    return {m_cell.slots, m_cell.slots - r.running, std::to_string(r.incarnation), std::nullopt};
}

void routing_simulation::kill_runners() {
    for (std::size_t i = 0; i < m_faults.outage.runners; ++i) {
        ++m_runners[i].incarnation;
        for (const std::uint64_t run : std::exchange(m_runners[i].runs, {})) {
            lose_run(run);
        }
        m_runners[i].running = 0;
    }
}

void routing_simulation::lose_run(std::uint64_t run) {
    const active_run lost = m_active_runs.at(run);
    m_active_runs.erase(run);
    routing::run_result result;
    result.token = lost.token;
    result.kind = routing::run_result_kind::lost;
    schedule(m_now + one_way_delay(m_entries[lost.entry]->region, m_runners[lost.runner].region),
             [this, entry = lost.entry, result] {
                 m_entries[entry]->engine->on_run_result(result, m_now);
                 after_engine_event(entry);
             });
}

void routing_simulation::refuse_connection(std::size_t entry, std::size_t runner,
                                           const routing::run_call& call) {
    routing::run_result result;
    result.token = call.token;
    result.kind = routing::run_result_kind::not_sent;
    result.unreachable = true;
    schedule(m_now + one_way_delay(m_entries[entry]->region, m_runners[runner].region),
             [this, entry, result] {
                 m_entries[entry]->engine->on_run_result(result, m_now);
                 after_engine_event(entry);
             });
}

// A runner loses its requests when it dies. Without a restart, a request that an entry queries is
// still running, or its result is in transit.
routing::run_state routing_simulation::run_state_at(std::size_t runner,
                                                    const routing::query_call& query) const {
    const std::size_t number = std::stoul(query.request_id);
    const auto& runs = m_runners[runner].runs;
    const bool runs_now = std::any_of(runs.begin(), runs.end(), [&](std::uint64_t run) {
        return m_active_runs.at(run).number == number;
    });
    if (runs_now || m_runners[runner].incarnation == 1) {
        return routing::run_state::running;
    }
    return query.kind == routing::query_kind::cancel ? routing::run_state::cancelled_before_start
                                                     : routing::run_state::not_seen;
}

void routing_simulation::answer_query(std::size_t entry, const routing::query_call& query) {
    const std::size_t runner = index_from_id(query.runner);
    const common::duration delay =
        one_way_delay(m_entries[entry]->region, m_runners[runner].region);
    schedule(m_now + delay, [this, entry, runner, delay, query] {
        routing::query_result result;
        result.token = query.token;
        result.request_id = query.request_id;
        if (!m_faults.outage.is_down(runner, m_now)) {
            result.state = run_state_at(runner, query);
            result.report = report_of(runner);
        }
        schedule(m_now + delay, [this, entry, result] {
            m_entries[entry]->engine->on_query_result(result, m_now);
            after_engine_event(entry);
        });
    });
}

void routing_simulation::answer_ping(std::size_t entry, const routing::ping_call& ping) {
    const std::size_t runner = index_from_id(ping.runner);
    const auto replied_at =
        m_now + 2 * one_way_delay(m_entries[entry]->region, m_runners[runner].region);
    schedule(replied_at, [this, entry, runner, token = ping.token] {
        const bool answered = !m_faults.outage.is_down(runner, m_now);
        m_entries[entry]->engine->on_ping_result(
            {token, answered, answered ? report_of(runner) : routing::runner_report{}}, m_now);
        after_engine_event(entry);
    });
}

void routing_simulation::send_peer(std::size_t entry, const routing::peer_message& message) {
    ++m_result.peer_messages;
    const std::size_t to = index_from_id(message.entry);
    if (m_entries[to]->region != m_entries[entry]->region) {
        m_result.crossing_peer_bytes += bytes_of(message);
    }
    routing::peer_message received = message;
    received.entry = "e" + std::to_string(entry);
    schedule(m_now + one_way_delay(m_entries[entry]->region, m_entries[to]->region),
             [this, to, received] {
                 m_entries[to]->engine->on_peer_message(received, m_now);
                 after_engine_event(to);
             });
}

void routing_simulation::count_attempt(const routing::run_call& call) {
    second_statistics& second = statistics_at(m_now);
    ++second.attempts;
    second.first_attempts += call.attempt == 1 ? 1 : 0;
}

void routing_simulation::count_retries() {
    std::size_t total = 0;
    for (const auto& e : m_entries) {
        for (const char* reason : {"expired", "not_sent", "attempt_fenced", "runner_restarted"}) {
            total +=
                static_cast<std::size_t>(e->metrics.get("retries_total", "reason", reason).value());
        }
        // A retry that the retry budget rejects is counted both as a retry and as a refusal.
        total -= static_cast<std::size_t>(
            e->metrics.get("refusals_total", "reason", "retry_budget").value());
    }
    statistics_at(m_now).budgeted_retries += total - m_retries_counted;
    m_retries_counted = total;
    if (m_now < common::time_point{} + m_cell.length) {
        schedule(m_now + std::chrono::milliseconds(100), [this] { count_retries(); });
    }
}

} // namespace buckthornspar::bench
