#include "core/routing/request_engine.h"

#include <algorithm>

namespace buckthornspar::routing {

namespace {

constexpr duration min_dispatch_poll = std::chrono::microseconds(500);
constexpr duration max_dispatch_poll = std::chrono::milliseconds(20);
constexpr duration excluded_backoff = std::chrono::milliseconds(20);
constexpr duration probe_check_period = std::chrono::milliseconds(100);

std::string id_key(const request& r) {
    return r.service + "\n" + r.id;
}

} // namespace

request_engine::request_engine(engine_settings settings, common::counters& metrics,
                               std::uint64_t seed)
    : m_settings(std::move(settings)),
      m_metrics(metrics),
      m_random(seed),
      m_budget(m_settings.retries),
      m_max_per_caller(m_settings.max_per_caller),
      m_crossing_bytes_per_s(m_settings.route.crossing_bytes_per_s) {}

request_engine::~request_engine() = default;

void request_engine::set_limits(const operator_limits& limits) {
    m_max_per_caller = std::min(m_settings.max_per_caller, limits.max_per_caller);
    m_budget.set_share(std::min(m_settings.retries.share, limits.retry_share));
    m_crossing_bytes_per_s =
        std::min(m_settings.route.crossing_bytes_per_s, limits.crossing_bytes_per_s);
    for (const auto& [service, route] : m_routes) {
        route->set_crossing_rate(m_crossing_bytes_per_s);
    }
}

void request_engine::submit(request r, time_point now) {
    m_metrics.get("requests_total", "class", to_string(r.priority)).add();
    service_route* route = nullptr;
    if (join_pending(r) || !admit(r, route, now)) {
        return;
    }
    auto owned = std::make_unique<pending_request>();
    pending_request& p = *owned;
    p.r = std::move(r);
    p.route = route;
    p.submitted = now;
    // An earlier submission of a repeated request may have run through another entry.
    p.may_have_run = p.r.repeat;
    ++m_per_caller[p.r.caller];
    m_by_id.emplace(id_key(p.r), p.r.key);
    m_pending.emplace(p.r.key, std::move(owned));
    if (p.r.repeat && !p.r.idempotent) {
        begin_fencing(p, now);
        return;
    }
    std::optional<std::uint64_t> evicted;
    const auto pushed = route->queue.push({p.r.key, p.r.priority, p.r.deadline}, evicted);
    if (pushed == admission_queue::push_result::full) {
        p.phase = request_phase::backoff;
        finish_not_run(p, refusal_reason::queue_full);
        return;
    }
    set_timer(p, p.r.deadline);
    if (evicted) {
        if (pending_request* lower = find_pending(*evicted)) {
            finish_not_run(*lower, refusal_reason::queue_full);
        }
    }
    dispatch(*route, now);
}

// Attaches a submission to a pending request with the same service and id, so that the request runs
// once and both submissions get the same answer.
bool request_engine::join_pending(const request& r) {
    const auto position = m_by_id.find(id_key(r));
    if (position == m_by_id.end()) {
        return false;
    }
    find_pending(position->second)->joined.push_back(r.key);
    m_metrics.get("requests_joined_total").add();
    return true;
}

bool request_engine::admit(const request& r, service_route*& route, time_point now) {
    const auto position = m_routes.find(r.service);
    if (m_draining) {
        refuse_submission(r, refusal_reason::draining);
        return false;
    }
    if (r.deadline <= now) {
        refuse_submission(r, refusal_reason::deadline_passed);
        return false;
    }
    if (position == m_routes.end()) {
        refuse_submission(r, refusal_reason::no_runner);
        return false;
    }
    route = position->second.get();
    const auto caller = m_per_caller.find(r.caller);
    if (caller != m_per_caller.end() && caller->second >= m_max_per_caller) {
        refuse_submission(r, refusal_reason::caller_limit);
        return false;
    }
    if (now + route->expected_wait(r.priority, r.deadline, now) >= r.deadline) {
        refuse_submission(r, refusal_reason::deadline_unreachable);
        return false;
    }
    return true;
}

void request_engine::refuse_submission(const request& r, refusal_reason reason) {
    m_metrics.get("refusals_total", "reason", to_string(reason)).add();
    // A repeated request may have run for an earlier submission.
    const auto outcome = r.repeat ? run_outcome::unknown : run_outcome::not_run;
    m_actions.emplace_back(caller_answer{r.key, outcome, reason, 0, {}, {}, {}});
}

void request_engine::dispatch(service_route& route, time_point now) {
    while (const auto key = route.queue.front()) {
        pending_request& p = *find_pending(*key);
        if (const auto index = route.choose(p.excluded, true, now, m_random)) {
            route.queue.pop_front();
            send(p, *index, now);
            continue;
        }
        if (dispatch_to_other_region(route, p, now)) {
            continue;
        }
        if (p.excluded.empty()) {
            break;
        }
        // A request that cannot use the free runners must not block the requests behind it.
        route.queue.pop_front();
        back_off(p, excluded_backoff, now);
    }
    if (!route.queue.empty()) {
        const auto poll =
            std::clamp(route.table.service_time() / 64, min_dispatch_poll, max_dispatch_poll);
        m_next_dispatch = std::min(m_next_dispatch, now + poll);
    }
}

bool request_engine::dispatch_to_other_region(service_route& route, pending_request& front,
                                              time_point now) {
    const auto crossing_candidate = route.find_crossing_candidate(front.submitted, now);
    if (crossing_candidate == service_route::crossing_candidate::none) {
        return false;
    }
    const bool last = crossing_candidate == service_route::crossing_candidate::back;
    pending_request& p = last ? *find_pending(*route.queue.back()) : front;
    const auto index = route.choose(p.excluded, false, now, m_random);
    if (!index) {
        return false;
    }
    route.queue.remove({p.r.key, p.r.priority, p.r.deadline});
    send(p, *index, now);
    return true;
}

void request_engine::dispatch_all(time_point now) {
    m_next_dispatch = time_point::max();
    for (auto& [service, route] : m_routes) {
        dispatch(*route, now);
    }
}

void request_engine::dispatch_pinned(pending_request& p, time_point now) {
    const runner& target = p.route->table.at(*p.pinned);
    if (target.id != p.pinned_id) {
        finish_unknown(p, refusal_reason::repeat_unsettled);
        return;
    }
    if (!target.listed || target.leaving) {
        begin_final_fence(p, now);
        return;
    }
    send(p, *p.pinned, now);
}

void request_engine::send(pending_request& p, std::size_t index, time_point now) {
    service_route& route = *p.route;
    const std::size_t bytes = p.r.body ? p.r.body->size() : 0;
    route.on_sent(index, bytes, now);
    if (!route.table.is_local(index)) {
        m_metrics.get("crossings_total").add();
    }
    if (p.attempts == 0) {
        m_budget.on_first_attempt();
    }
    ++p.attempts;
    const runner& target = route.table.at(index);
    p.phase = request_phase::running;
    p.runner = index;
    p.sent_at = now;
    p.incarnation = p.pinned ? p.pinned_incarnation : target.incarnation;
    p.cancel_sent = false;
    p.seen_started = false;
    p.query_token = 0;
    p.run_token = open_call({call_kind::run, query_kind::ask, p.r.key, &route, index, now});
    p.run_open = true;
    p.check_delay = std::max(m_settings.overdue_min, route.table.service_time() * 4);
    set_timer(p, std::min(now + p.check_delay, p.r.deadline + m_settings.answer_grace));
    m_actions.emplace_back(run_call{p.run_token, target.id, target.address, p.r.service, p.r.id,
                                    p.r.deadline - now, p.attempts, p.r.idempotent, p.r.body,
                                    p.r.content_type, p.pinned_incarnation});
}

void request_engine::requeue(pending_request& p, time_point now) {
    if (p.pinned) {
        dispatch_pinned(p, now);
        return;
    }
    p.phase = request_phase::queued;
    p.route->queue.reinsert({p.r.key, p.r.priority, p.r.deadline});
    set_timer(p, p.r.deadline);
}

void request_engine::back_off(pending_request& p, duration delay, time_point now) {
    p.phase = request_phase::backoff;
    set_timer(p, std::min(now + delay, p.r.deadline));
}

void request_engine::retry(pending_request& p, retry_reason reason, time_point now) {
    m_metrics.get("retries_total", "reason", to_string(reason)).add();
    if (p.pinned && reason == retry_reason::attempt_fenced) {
        // The id is now cancelled at every runner.
        p.may_have_run = false;
        finish_not_run(p, refusal_reason::fenced);
        return;
    }
    if (now >= p.r.deadline) {
        finish_not_run(p, refusal_reason::deadline_passed);
        return;
    }
    // These refusals cost no work, and the backoff of the refusing runner limits their number.
    const bool exempt_from_budget = reason == retry_reason::full || reason == retry_reason::leaving;
    if (exempt_from_budget && !p.pinned) {
        requeue(p, now);
        return;
    }
    if (!exempt_from_budget && !m_budget.try_take()) {
        finish_not_run(p, refusal_reason::retry_budget);
        return;
    }
    back_off(p, m_budget.backoff(++p.backoffs, m_random), now);
}

void request_engine::finish_not_run(pending_request& p, refusal_reason reason) {
    if (p.may_have_run) {
        finish_unknown(p, reason);
        return;
    }
    m_metrics.get("refusals_total", "reason", to_string(reason)).add();
    finish(p, {p.r.key, run_outcome::not_run, reason, 0, {}, {}, {}});
}

void request_engine::finish_unknown(pending_request& p, refusal_reason reason) {
    m_metrics.get("requests_unknown_total", "reason", to_string(reason)).add();
    finish(p, {p.r.key, run_outcome::unknown, reason, 0, {}, {}, {}});
}

void request_engine::finish(pending_request& p, caller_answer answer) {
    if (p.phase == request_phase::queued) {
        p.route->queue.remove({p.r.key, p.r.priority, p.r.deadline});
    }
    abandon_run(p);
    m_timers.erase({p.timer_at, p.r.key});
    m_by_id.erase(id_key(p.r));
    const auto caller = m_per_caller.find(p.r.caller);
    if (--caller->second == 0) {
        m_per_caller.erase(caller);
    }
    for (const std::uint64_t key : p.joined) {
        caller_answer copy = answer;
        copy.key = key;
        m_actions.emplace_back(std::move(copy));
    }
    m_metrics.get("answers_total", "outcome", to_string(answer.outcome)).add();
    m_actions.emplace_back(std::move(answer));
    m_pending.erase(p.r.key);
}

void request_engine::set_timer(pending_request& p, time_point at) {
    m_timers.erase({p.timer_at, p.r.key});
    p.timer_at = at;
    m_timers.emplace(at, p.r.key);
}

void request_engine::on_timer(pending_request& p, time_point now) {
    switch (p.phase) {
    case request_phase::queued:
        finish_not_run(p, refusal_reason::deadline_passed);
        return;
    case request_phase::backoff:
        if (now >= p.r.deadline) {
            finish_not_run(p, refusal_reason::deadline_passed);
            return;
        }
        requeue(p, now);
        return;
    case request_phase::running:
        check_overdue(p, now);
        return;
    case request_phase::settling:
        continue_settlement(p, now);
        return;
    case request_phase::fencing:
        send_fences(p, now);
        return;
    }
}

void request_engine::tick(time_point now) {
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const std::uint64_t key = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        on_timer(*find_pending(key), now);
    }
    if (now >= m_next_policy_tick) {
        tick_policies(now);
    }
    if (now >= m_next_probe) {
        probe_runners(now);
    }
    dispatch_all(now);
}

void request_engine::tick_policies(time_point now) {
    m_next_policy_tick = now + policy_tick_period;
    std::vector<peer_message> messages;
    for (auto& [service, route] : m_routes) {
        route->policy->on_tick({route->table, m_entries, route->queue.size(), now}, messages);
    }
    for (auto& message : messages) {
        m_actions.emplace_back(std::move(message));
    }
}

void request_engine::probe_runners(time_point now) {
    m_next_probe = now + probe_check_period;
    for (auto& [service, route] : m_routes) {
        for (std::size_t index = 0; index < route->table.size(); ++index) {
            const runner& r = route->table.at(index);
            const bool suspected = r.health.state() == health_state::suspected;
            const duration period =
                suspected ? m_settings.suspected_probe_period : m_settings.idle_probe_period;
            const bool due = suspected ? !r.probing : r.open_calls == 0;
            if (r.listed && due && now - r.last_response >= period) {
                send_ping(*route, index, now);
            }
        }
    }
}

void request_engine::send_ping(service_route& route, std::size_t index, time_point now) {
    runner& r = route.table.at(index);
    r.probing = true;
    const call_token token = open_call({call_kind::ping, query_kind::ask, 0, &route, index, now});
    m_actions.emplace_back(ping_call{token, r.id, r.address});
}

void request_engine::on_instances(const membership::instance_snapshot& list, time_point now) {
    m_entries.clear();
    for (const auto& i : list.instances) {
        if (i.role == membership::instance_role::entry &&
            i.state == membership::instance_state::live) {
            m_entries.push_back({i.id, i.region});
        }
        if (i.role == membership::instance_role::runner && !m_routes.contains(i.service)) {
            route_settings settings = m_settings.route;
            settings.setup.service = i.service;
            settings.crossing_bytes_per_s = m_crossing_bytes_per_s;
            m_routes.emplace(i.service, std::make_unique<service_route>(settings));
        }
    }
    for (auto& [service, route] : m_routes) {
        for (const std::size_t index : route->update(list, now)) {
            // The first probe also reports the incarnation, which settlement needs.
            send_ping(*route, index, now);
        }
        dispatch(*route, now);
    }
}

void request_engine::on_peer_message(const peer_message& message, time_point now) {
    const std::string& service = std::visit(
        [](const auto& content) -> const std::string& { return content.service; }, message.content);
    const auto position = m_routes.find(service);
    if (position == m_routes.end()) {
        return;
    }
    position->second->policy->on_peer_message(message, position->second->table, now);
    dispatch(*position->second, now);
}

std::vector<action> request_engine::take_actions() {
    return std::exchange(m_actions, {});
}

time_point request_engine::next_wakeup() const {
    const auto timer = m_timers.empty() ? time_point::max() : m_timers.begin()->first;
    return std::min({timer, m_next_policy_tick, m_next_probe, m_next_dispatch});
}

const service_route* request_engine::find_route(const std::string& service) const {
    const auto position = m_routes.find(service);
    return position == m_routes.end() ? nullptr : position->second.get();
}

call_token request_engine::open_call(const call_record& record) {
    ++record.route->table.at(record.runner).open_calls;
    const call_token token = m_next_token++;
    m_calls.emplace(token, record);
    return token;
}

std::optional<request_engine::call_record> request_engine::close_call(call_token token,
                                                                      call_kind kind) {
    const auto position = m_calls.find(token);
    if (position == m_calls.end() || position->second.kind != kind) {
        m_metrics.get("answers_unexpected_total").add();
        return std::nullopt;
    }
    const call_record record = position->second;
    m_calls.erase(position);
    --record.route->table.at(record.runner).open_calls;
    return record;
}

pending_request* request_engine::find_pending(std::uint64_t key) {
    const auto position = m_pending.find(key);
    return position == m_pending.end() ? nullptr : position->second.get();
}

} // namespace buckthornspar::routing
