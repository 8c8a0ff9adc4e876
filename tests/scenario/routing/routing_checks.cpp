#include "scenario/routing/routing_checks.h"

#include <algorithm>

namespace buckthornspar::scenario {

using routing::run_outcome;

namespace {

// Target: no new requests 3 s after the instance list shows the runner as leaving.
constexpr common::duration leaving_limit = std::chrono::seconds(3);
// The engine waits for an answer until 100 ms after the deadline.
constexpr common::duration max_answer_delay = std::chrono::milliseconds(200);

} // namespace

void routing_checks::on_submitted(std::uint64_t key, submission s) {
    request_record& r = m_requests[s.id];
    r.idempotent = s.idempotent;
    r.repeated = r.repeated || s.repeat;
    if (s.repeat) {
        // The caller has repeated the request, so an earlier "not run" no longer applies.
        r.reported_not_run = false;
    }
    m_submissions.emplace(key, std::move(s));
}

void routing_checks::on_answer(const routing::caller_answer& answer, common::time_point now) {
    const auto position = m_submissions.find(answer.key);
    if (position == m_submissions.end()) {
        throw violation("an answer was given for an unknown submission");
    }
    submission& s = position->second;
    if (s.answer) {
        throw violation(s.id + " was answered twice");
    }
    s.answer = answer;
    s.answered = now;
    request_record& r = m_requests[s.id];
    if (answer.outcome == run_outcome::ran) {
        if (answer.body != "answer:body:" + s.id) {
            throw violation(s.id + " got the answer '" + answer.body + "'");
        }
        if (r.executions == 0) {
            throw violation(s.id + " was told that it ran, but it did not");
        }
    }
    if (answer.outcome == run_outcome::not_run && (s.repeat || !r.repeated)) {
        r.reported_not_run = true;
        if (r.executions > 0) {
            throw violation(s.id + " was told 'not run', but it ran");
        }
    }
}

common::duration routing_checks::response_time(common::time_point from, common::time_point until,
                                               std::int64_t percent) const {
    std::vector<common::duration> times;
    for (const auto& [key, s] : m_submissions) {
        if (s.submitted < from || s.submitted >= until) {
            continue;
        }
        if (!s.answer || s.answer->outcome != run_outcome::ran) {
            throw violation(s.id + " did not run");
        }
        times.push_back(s.answered - s.submitted);
    }
    if (times.empty()) {
        throw violation("no request was submitted in this interval");
    }
    std::sort(times.begin(), times.end());
    constexpr std::size_t all_percent = 100;
    const std::size_t index = times.size() * static_cast<std::size_t>(percent) / all_percent;
    return times[std::min(index, times.size() - 1)];
}

void routing_checks::on_entry_killed(const std::string& entry) {
    for (auto& [key, s] : m_submissions) {
        if (s.entry == entry && !s.answer) {
            s.abandoned = true;
        }
    }
}

void routing_checks::on_run_sent(const std::string& runner,
                                 std::optional<common::time_point> leaving_since,
                                 common::time_point now) {
    if (leaving_since && now - *leaving_since >= leaving_limit) {
        throw violation(runner + " got new work 3 s after it was shown as leaving");
    }
}

void routing_checks::on_runner_event(const fakes::runner_model& runner) {
    if (runner.running() > runner.slots()) {
        throw violation(runner.id() + " runs more than its slots");
    }
    runner_record& record = m_runners[runner.id()];
    const auto& executions = runner.executions();
    std::erase_if(record.open, [&](std::size_t number) {
        const bool ended = executions[number].end.has_value();
        if (ended) {
            m_requests[executions[number].id].open.erase({runner.id(), number});
        }
        return ended;
    });
    for (; record.seen < executions.size(); ++record.seen) {
        on_started(runner.id(), record.seen, executions[record.seen].id);
        if (!executions[record.seen].end) {
            record.open.insert(record.seen);
            m_requests[executions[record.seen].id].open.emplace(runner.id(), record.seen);
        }
    }
}

void routing_checks::on_started(const std::string& runner, std::size_t number,
                                const std::string& id) {
    request_record& r = m_requests[id];
    ++r.executions;
    const std::string where = " (" + runner + ", execution " + std::to_string(number) + ")";
    if (r.reported_not_run) {
        throw violation(id + " runs after its caller was told 'not run'" + where);
    }
    if (!r.idempotent && r.executions > 1) {
        throw violation(id + " is not idempotent and runs twice" + where);
    }
    // An idempotent repeat may overlap with an attempt of another entry.
    if (!r.open.empty() && !(r.idempotent && r.repeated)) {
        throw violation(id + " runs in two places at the same time" + where);
    }
}

void routing_checks::on_end(common::time_point now) const {
    for (const auto& [key, s] : m_submissions) {
        if (!s.answer && !s.abandoned && s.deadline + max_answer_delay < now) {
            throw violation(s.id + " got no answer");
        }
    }
}

std::size_t routing_checks::executions(const std::string& id) const {
    const auto position = m_requests.find(id);
    return position == m_requests.end() ? 0 : position->second.executions;
}

} // namespace buckthornspar::scenario
