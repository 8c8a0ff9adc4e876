#include "core/routing/request_engine.h"

#include <xxhash.h>

#include <algorithm>

namespace buckthornspar::routing {

namespace {

constexpr duration first_check_delay = std::chrono::milliseconds(50);
constexpr duration max_check_delay = std::chrono::seconds(1);
constexpr unsigned first_server_error = 500;

// An incarnation that was unknown when the request was sent counts as changed, because the runner
// may have restarted since then.
bool restarted(const pending_request& p, const runner_report& report) {
    return !report.incarnation.empty() && report.incarnation != p.incarnation;
}

} // namespace

void request_engine::on_run_result(run_result result, time_point now) {
    const auto call = close_call(result.token, call_kind::run);
    if (!call) {
        return;
    }
    service_route& route = *call->route;
    route.table.on_run_completed(call->runner);
    pending_request* p = find_pending(call->key);
    const bool responded =
        result.kind == run_result_kind::answered || result.kind == run_result_kind::refused;
    if (p != nullptr && responded && result.request_id != p->r.id) {
        m_metrics.get("answers_mismatched_total").add();
        result.kind = run_result_kind::lost;
    } else if (responded) {
        if (result.kind == run_result_kind::refused) {
            route.table.on_round_trip(call->runner, now - call->sent_at);
        }
        route.table.on_response(call->runner, result.report, now);
    }
    if (p == nullptr || p->run_token != result.token) {
        if (responded) {
            m_metrics.get("answers_late_total").add();
        }
        dispatch(route, now);
        return;
    }
    p->run_open = false;
    const bool awaited = p->phase == request_phase::running || p->phase == request_phase::settling;
    switch (result.kind) {
    case run_result_kind::answered:
        on_answered(*p, *call, result, now);
        break;
    case run_result_kind::refused:
        if (awaited) {
            on_refused(*p, *call, result, now);
        }
        break;
    case run_result_kind::not_sent:
        if (result.unreachable) {
            apply_health_reaction(route, call->runner,
                                  route.table.at(call->runner).health.on_probe_failed());
        }
        if (awaited) {
            retry(*p, retry_reason::not_sent, now);
        }
        break;
    case run_result_kind::lost:
        if (p->phase == request_phase::running) {
            apply_health_reaction(route, call->runner,
                                  route.table.at(call->runner).health.on_connection_lost());
            begin_settlement(*p, now);
        }
        break;
    }
    dispatch(route, now);
}

void request_engine::on_answered(pending_request& p, const call_record& call, run_result& result,
                                 time_point now) {
    service_route& route = *call.route;
    apply_health_reaction(route, call.runner, route.table.at(call.runner).health.on_answer());
    const bool failed = result.status >= first_server_error;
    route.on_answer(call.runner, failed, now - call.sent_at, result.body.size(), now);
    finish(p, {p.r.key, run_outcome::ran, std::nullopt, result.status, std::move(result.body),
               std::move(result.content_type), route.table.at(call.runner).id});
}

void request_engine::on_refused(pending_request& p, const call_record& call,
                                const run_result& result, time_point now) {
    service_route& route = *call.route;
    apply_health_reaction(route, call.runner, route.table.at(call.runner).health.on_answer());
    m_metrics.get("runner_refusals_total", "reason", to_string(result.refusal)).add();
    if (!route.table.is_local(call.runner)) {
        m_metrics.get("crossings_refused_total").add();
    }
    if (p.cancel_sent) {
        // The cancellation may still arrive and would cancel another attempt at this runner.
        p.excluded.push_back(call.runner);
    }
    switch (result.refusal) {
    case runner_refusal::full:
        route.table.on_full_refusal(call.runner, now);
        retry(p, retry_reason::full, now);
        return;
    case runner_refusal::leaving:
        route.table.on_leaving(call.runner);
        retry(p, retry_reason::leaving, now);
        return;
    case runner_refusal::expired:
        retry(p, retry_reason::expired, now);
        return;
    case runner_refusal::cancelled:
        break;
    }
    if (p.pinned && restarted(p, result.report)) {
        finish_unknown(p, refusal_reason::runner_restarted);
        return;
    }
    if (p.cancel_sent || p.pinned) {
        retry(p, retry_reason::attempt_fenced, now);
        return;
    }
    // Another entry has cancelled the id because it handles a repeat of this request, which may
    // run through that entry.
    finish_unknown(p, refusal_reason::superseded);
}

void request_engine::begin_settlement(pending_request& p, time_point now) {
    p.phase = request_phase::settling;
    p.check_delay = first_check_delay;
    p.next_query = query_kind::cancel;
    continue_settlement(p, now);
}

void request_engine::check_overdue(pending_request& p, time_point now) {
    const time_point last = p.r.deadline + m_settings.answer_grace;
    if (now >= last) {
        finish_unknown(p, refusal_reason::attempt_unsettled);
        return;
    }
    m_metrics.get("answers_overdue_total").add();
    service_route& route = *p.route;
    apply_health_reaction(route, p.runner, route.table.at(p.runner).health.on_overdue());
    if (p.query_token == 0) {
        query(p, query_kind::ask, p.runner, now);
    }
    set_timer(p, std::min(now + p.check_delay, last));
}

void request_engine::continue_settlement(pending_request& p, time_point now) {
    const time_point last = p.r.deadline + m_settings.answer_grace;
    if (now >= last) {
        finish_unknown(p, refusal_reason::attempt_unsettled);
        return;
    }
    if (p.query_token == 0) {
        query(p, p.next_query, p.runner, now);
    }
    set_timer(p, std::min(now + p.check_delay, last));
    p.check_delay = std::min(p.check_delay * 2, max_check_delay);
}

void request_engine::query(pending_request& p, query_kind kind, std::size_t index, time_point now) {
    const runner& r = p.route->table.at(index);
    p.query_token = open_call({call_kind::query, kind, p.r.key, p.route, index, now});
    p.cancel_sent = p.cancel_sent || kind == query_kind::cancel;
    m_actions.emplace_back(query_call{p.query_token, kind, r.id, r.address, p.r.id});
}

void request_engine::on_query_result(query_result result, time_point now) {
    const auto call = close_call(result.token, call_kind::query);
    if (!call) {
        return;
    }
    service_route& route = *call->route;
    pending_request* p = find_pending(call->key);
    if (p != nullptr && result.state && result.request_id != p->r.id) {
        m_metrics.get("answers_mismatched_total").add();
        result.state.reset();
    }
    if (result.state) {
        route.table.on_response(call->runner, result.report, now);
    } else {
        apply_health_reaction(route, call->runner,
                              route.table.at(call->runner).health.on_probe_failed());
    }
    if (p == nullptr) {
        return;
    }
    if (p->phase == request_phase::fencing) {
        on_fence_result(*p, *call, result, now);
    } else if (p->query_token == result.token) {
        p->query_token = 0;
        if (result.state) {
            on_query_state(*p, *call, result, now);
        }
    }
    dispatch(route, now);
}

void request_engine::on_query_state(pending_request& p, const call_record& call,
                                    query_result& result, time_point now) {
    if (p.phase != request_phase::running && p.phase != request_phase::settling) {
        return;
    }
    service_route& route = *call.route;
    connection_health& health = route.table.at(call.runner).health;
    m_metrics.get("settlement_answers_total", "state", to_string(*result.state)).add();
    switch (*result.state) {
    case run_state::running:
        p.seen_started = true;
        p.next_query = query_kind::ask;
        apply_health_reaction(route, call.runner, health.on_answer());
        return;
    case run_state::done:
        p.seen_started = true;
        if (call.query == query_kind::fetch) {
            finish(p,
                   {p.r.key, run_outcome::ran, std::nullopt, result.status, std::move(result.body),
                    std::move(result.content_type), route.table.at(call.runner).id});
            return;
        }
        // The runner has sent the answer, but on a connection that has become silent.
        apply_health_reaction(route, call.runner, health.on_found_silent());
        abandon_run(p);
        p.phase = request_phase::settling;
        p.next_query = query_kind::fetch;
        p.check_delay = first_check_delay;
        continue_settlement(p, now);
        return;
    case run_state::not_seen:
        if (call.query == query_kind::fetch) {
            finish_unknown(p, refusal_reason::answer_lost);
            return;
        }
        apply_health_reaction(route, call.runner, health.on_found_silent());
        abandon_run(p);
        begin_settlement(p, now);
        return;
    case run_state::cancelled_before_start:
        apply_health_reaction(route, call.runner, health.on_probe_answered());
        on_not_started(p, call, result, now);
        return;
    }
}

void request_engine::on_not_started(pending_request& p, const call_record& call,
                                    const query_result& result, time_point now) {
    abandon_run(p);
    if (restarted(p, result.report) || p.seen_started) {
        // The restart ended the earlier process, which may have completed the work.
        p.may_have_run = true;
        if (p.r.idempotent) {
            p.excluded.push_back(call.runner);
            retry(p, retry_reason::runner_restarted, now);
        } else {
            finish_unknown(p, refusal_reason::runner_restarted);
        }
        return;
    }
    p.excluded.push_back(call.runner);
    retry(p, retry_reason::attempt_fenced, now);
}

void request_engine::on_ping_result(const ping_result& result, time_point now) {
    const auto call = close_call(result.token, call_kind::ping);
    if (!call) {
        return;
    }
    service_route& route = *call->route;
    connection_health& health = route.table.at(call->runner).health;
    route.table.at(call->runner).probing = false;
    if (!result.answered) {
        route.table.at(call->runner).last_response = now;
        apply_health_reaction(route, call->runner, health.on_probe_failed());
        return;
    }
    route.table.on_round_trip(call->runner, now - call->sent_at);
    route.table.on_response(call->runner, result.report, now);
    apply_health_reaction(route, call->runner, health.on_probe_answered());
    dispatch(route, now);
}

void request_engine::abandon_run(pending_request& p) {
    if (p.run_open) {
        p.run_open = false;
        m_actions.emplace_back(abandon_call{p.run_token});
    }
}

void request_engine::apply_health_reaction(service_route& route, std::size_t index,
                                           health_reaction reaction) {
    if (reaction.replace_connections) {
        m_metrics.get("connections_replaced_total").add();
        m_actions.emplace_back(replace_connections{route.table.at(index).address});
    }
}

// Cancels the id at every runner except one, so that a late arrival of the first submission is
// refused there, and queries the state at the remaining runner. That runner is chosen by rendezvous
// hashing, so that all entries that consider the same runners available choose the same one.
void request_engine::begin_fencing(pending_request& p, time_point now) {
    const runner_table& table = p.route->table;
    XXH64_hash_t highest = 0;
    p.phase = request_phase::fencing;
    p.check_delay = first_check_delay;
    for (std::size_t index = 0; index < table.size(); ++index) {
        const runner& r = table.at(index);
        if (r.id.empty()) {
            continue;
        }
        p.unfenced.insert(index);
        const std::string pair = r.id + "/" + p.r.id;
        const XXH64_hash_t score = XXH3_64bits(pair.data(), pair.size());
        if (table.is_available(index, now) && (!p.pinned || score > highest)) {
            p.pinned = index;
            p.pinned_id = r.id;
            highest = score;
        }
    }
    send_fences(p, now);
}

void request_engine::begin_final_fence(pending_request& p, time_point now) {
    p.phase = request_phase::fencing;
    p.check_delay = first_check_delay;
    p.unfenced = {*p.pinned};
    p.pinned.reset();
    send_fences(p, now);
}

void request_engine::send_fences(pending_request& p, time_point now) {
    if (now >= p.r.deadline) {
        finish_unknown(p, refusal_reason::repeat_unsettled);
        return;
    }
    for (const std::size_t index : p.unfenced) {
        query(p, p.pinned == index ? query_kind::ask : query_kind::cancel, index, now);
    }
    set_timer(p, std::min(now + p.check_delay, p.r.deadline));
    p.check_delay = std::min(p.check_delay * 2, max_check_delay);
}

void request_engine::on_fence_result(pending_request& p, const call_record& call,
                                     query_result& result, time_point now) {
    if (!result.state) {
        return;
    }
    if (*result.state == run_state::running || *result.state == run_state::done) {
        p.phase = request_phase::settling;
        p.runner = call.runner;
        p.pinned = call.runner;
        p.pinned_id = p.route->table.at(call.runner).id;
        p.pinned_incarnation = result.report.incarnation;
        p.incarnation = result.report.incarnation;
        p.unfenced.clear();
        p.query_token = 0;
        p.seen_started = true;
        p.next_query = *result.state == run_state::done ? query_kind::fetch : query_kind::ask;
        continue_settlement(p, now);
        return;
    }
    if (result.report.uptime && *result.report.uptime < m_settings.id_retention) {
        // The runner may have run the request before it restarted.
        finish_unknown(p, refusal_reason::runner_restarted);
        return;
    }
    if (p.pinned == call.runner) {
        p.pinned_incarnation = result.report.incarnation;
    }
    p.unfenced.erase(call.runner);
    if (!p.unfenced.empty()) {
        return;
    }
    p.query_token = 0;
    if (p.pinned) {
        dispatch_pinned(p, now);
        return;
    }
    p.may_have_run = false;
    finish_not_run(p, refusal_reason::fenced);
}

} // namespace buckthornspar::routing
