#include "fakes/runner_model.h"

#include "core/common/name_table.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::fakes {

using routing::run_outcome;
using routing::run_state;
using routing::runner_refusal;

namespace {

constexpr common::name_table<runner_fault, 8> fault_names{
    "runner fault",
    {"none", "silent", "paused", "late", "twice", "truncated", "refuses_all", "fails_fast"}};

constexpr unsigned status_ok = 200;
constexpr unsigned status_failed = 500;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timed_out = 504;

} // namespace

runner_fault runner_fault_from(std::string_view name) {
    return fault_names.value(name);
}

void runner_model::post(run_arrival arrival, time_point now) {
    if (m_fault == runner_fault::paused) {
        m_unread.push_back(std::move(arrival));
        return;
    }
    receive(arrival, now);
}

void runner_model::receive(const run_arrival& arrival, time_point now) {
    const auto known = m_jobs.find(arrival.id);
    if (known != m_jobs.end()) {
        job& j = known->second;
        if (j.state == run_state::cancelled_before_start) {
            refuse(arrival, runner_refusal::cancelled, now);
        } else if (j.state == run_state::running) {
            j.tags.push_back(arrival.tag);
        } else {
            run_reply repeated_reply = j.answer;
            repeated_reply.tag = arrival.tag;
            reply(std::move(repeated_reply), now);
        }
        return;
    }
    if (!arrival.expected_incarnation.empty() && arrival.expected_incarnation != incarnation()) {
        refuse(arrival, runner_refusal::cancelled, now);
    } else if (m_leaving) {
        refuse(arrival, runner_refusal::leaving, now);
    } else if (arrival.remaining <= duration(0)) {
        refuse(arrival, runner_refusal::expired, now);
    } else if (m_fault == runner_fault::refuses_all || (m_running >= m_slots && !m_ignores_slots)) {
        refuse(arrival, runner_refusal::full, now);
    } else {
        start(arrival, now);
    }
}

void runner_model::refuse(const run_arrival& arrival, runner_refusal reason, time_point now) {
    reply({arrival.tag, arrival.id, run_outcome::not_run, reason, status_unavailable, {}, false},
          now);
}

void runner_model::start(const run_arrival& arrival, time_point now) {
    job j;
    j.tags.push_back(arrival.tag);
    j.execution = m_executions.size();
    m_executions.push_back({arrival.id, now, std::nullopt});
    const bool fails = m_fault == runner_fault::fails_fast;
    const bool in_time = arrival.work <= arrival.remaining;
    unsigned status = in_time ? status_ok : status_timed_out;
    if (fails) {
        status = status_failed;
    }
    j.answer = {arrival.tag,
                arrival.id,
                run_outcome::ran,
                runner_refusal::full,
                status,
                "answer:" + arrival.body,
                false};
    m_jobs[arrival.id] = std::move(j);
    ++m_running;
    m_run_ends.emplace(now + (fails ? duration(1) : std::min(arrival.work, arrival.remaining)),
                       arrival.id);
}

void runner_model::complete(const std::string& id, time_point now) {
    job& j = m_jobs.at(id);
    j.state = run_state::done;
    m_executions[j.execution].end = now;
    --m_running;
    for (const std::uint64_t tag : j.tags) {
        run_reply answer = j.answer;
        answer.tag = tag;
        reply(std::move(answer), now);
    }
}

void runner_model::reply(run_reply r, time_point now) {
    switch (m_fault) {
    case runner_fault::silent:
        return;
    case runner_fault::late:
        m_delayed_replies.emplace(now + m_reply_delay, std::move(r));
        return;
    case runner_fault::duplicated:
        m_replies.push_back(r);
        break;
    case runner_fault::truncated:
        r.truncated = true;
        r.body.resize(r.body.size() / 2);
        break;
    default:
        break;
    }
    m_replies.push_back(std::move(r));
}

std::optional<run_state> runner_model::ask(const std::string& id) const {
    if (!responds()) {
        return std::nullopt;
    }
    const auto known = m_jobs.find(id);
    return known == m_jobs.end() ? run_state::not_seen : known->second.state;
}

std::optional<run_state> runner_model::cancel(const std::string& id) {
    if (!responds()) {
        return std::nullopt;
    }
    const auto known = m_jobs.find(id);
    if (known != m_jobs.end()) {
        return known->second.state;
    }
    m_jobs[id].state = run_state::cancelled_before_start;
    return run_state::cancelled_before_start;
}

std::optional<run_reply> runner_model::kept_answer(const std::string& id) const {
    const auto known = m_jobs.find(id);
    if (known == m_jobs.end() || known->second.state != run_state::done) {
        return std::nullopt;
    }
    return known->second.answer;
}

bool runner_model::responds() const {
    return m_fault != runner_fault::silent && m_fault != runner_fault::paused;
}

void runner_model::set_fault(runner_fault fault, time_point now) {
    m_fault = fault;
    if (fault == runner_fault::paused) {
        return;
    }
    while (!m_unread.empty()) {
        receive(m_unread.front(), now);
        m_unread.pop_front();
    }
}

void runner_model::restart(time_point now) {
    for (auto& e : m_executions) {
        if (!e.end) {
            e.end = now;
        }
    }
    ++m_restarts;
    m_started = now;
    m_running = 0;
    m_jobs.clear();
    m_run_ends.clear();
    m_delayed_replies.clear();
    m_unread.clear();
    m_replies.clear();
    m_leaving = false;
}

void runner_model::advance(time_point now) {
    // A paused process completes no runs; their ends are processed when it resumes.
    while (m_fault != runner_fault::paused && !m_run_ends.empty() &&
           m_run_ends.begin()->first <= now) {
        const std::string id = m_run_ends.begin()->second;
        const time_point end = std::max(m_run_ends.begin()->first, now);
        m_run_ends.erase(m_run_ends.begin());
        complete(id, end);
    }
    while (!m_delayed_replies.empty() && m_delayed_replies.begin()->first <= now) {
        m_replies.push_back(std::move(m_delayed_replies.begin()->second));
        m_delayed_replies.erase(m_delayed_replies.begin());
    }
}

std::optional<time_point> runner_model::next_event() const {
    std::optional<time_point> next;
    if (m_fault != runner_fault::paused && !m_run_ends.empty()) {
        next = m_run_ends.begin()->first;
    }
    if (!m_delayed_replies.empty() && (!next || m_delayed_replies.begin()->first < *next)) {
        next = m_delayed_replies.begin()->first;
    }
    return next;
}

std::vector<run_reply> runner_model::take_replies() {
    return std::exchange(m_replies, {});
}

std::uint32_t runner_model::slots_free() const {
    if (m_fault == runner_fault::refuses_all) {
        return m_slots;
    }
    return m_slots > m_running ? m_slots - m_running : 0;
}

std::string runner_model::incarnation() const {
    return m_id + "." + std::to_string(m_restarts);
}

} // namespace buckthornspar::fakes
