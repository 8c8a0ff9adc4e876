#include "core/routing/runner_table.h"

#include <algorithm>
#include <unordered_map>

namespace buckthornspar::routing {

namespace {

constexpr double failure_weight = 0.2;
constexpr double high_failure_rate = 0.6;
constexpr double low_failure_rate = 0.3;
constexpr unsigned min_answers_for_quarantine = 5;
constexpr duration min_quarantine = std::chrono::seconds(1);
constexpr duration max_quarantine = std::chrono::seconds(30);
constexpr duration min_full_hold = std::chrono::milliseconds(1);
constexpr duration max_full_hold = std::chrono::seconds(1);
// A runner that is not listed for longer than this has been terminated by the platform.
constexpr duration gone_after = std::chrono::seconds(60);
constexpr double service_time_weight = 0.02;
constexpr unsigned default_slots = 8;
// A runner is near when this many round trips pass before one of its slots becomes free.
constexpr int near_trips = 4;
constexpr unsigned distant_refusals_without_hold = 16;
constexpr double round_trip_weight = 0.2;

void apply(runner& r, const membership::instance& i) {
    r.id = i.id;
    r.address = i.address;
    r.region = i.region;
    r.listed = true;
    // A refusal that says "leaving" counts as the same fact and is not undone by a lagging list.
    r.leaving = r.leaving || i.state == membership::instance_state::leaving;
    if (r.slots == 0) {
        r.slots = i.slots > 0 ? i.slots : default_slots;
    }
}

void quarantine(runner& r, time_point now) {
    const duration length = std::max(r.next_quarantine, min_quarantine);
    r.quarantined_until = now + length;
    r.next_quarantine = std::min(length * 2, max_quarantine);
}

bool is_near(const runner& r, duration turnover) {
    return r.round_trip * near_trips < turnover;
}

// The report was made half a round trip ago; requests take the other half to arrive.
void take_report(runner& r, std::uint32_t slots_free, time_point now) {
    r.reported_free = slots_free;
    r.reported_at = now;
    while (!r.unreported.empty() && r.unreported.front() <= now - r.round_trip) {
        r.unreported.pop_front();
    }
}

} // namespace

std::vector<std::size_t> runner_table::update(const std::string& service,
                                              const membership::instance_snapshot& list,
                                              time_point now) {
    std::unordered_map<std::string, std::size_t> known;
    for (std::size_t index = 0; index < m_runners.size(); ++index) {
        if (m_runners[index].listed) {
            m_runners[index].unlisted_since = now;
        }
        m_runners[index].listed = false;
        known.emplace(m_runners[index].id, index);
    }
    std::vector<std::size_t> added;
    for (const auto& i : list.instances) {
        if (i.role != membership::instance_role::runner || i.service != service) {
            continue;
        }
        const auto position = known.find(i.id);
        if (position != known.end() && at(position->second).address == i.address) {
            apply(at(position->second), i);
            continue;
        }
        const std::size_t index = slot_for_new_runner();
        apply(at(index), i);
        at(index).last_response = now;
        added.push_back(index);
    }
    for (auto& r : m_runners) {
        if (!r.listed && r.open_calls == 0 && now - r.unlisted_since > gone_after) {
            r = runner{};
            r.listed = false;
        }
    }
    return added;
}

std::size_t runner_table::slot_for_new_runner() {
    const auto free = std::find_if(m_runners.begin(), m_runners.end(),
                                   [](const runner& r) { return !r.listed && r.id.empty(); });
    if (free != m_runners.end()) {
        *free = runner{};
        return static_cast<std::size_t>(free - m_runners.begin());
    }
    m_runners.emplace_back();
    return m_runners.size() - 1;
}

std::optional<std::size_t> runner_table::find(const std::string& id) const {
    for (std::size_t index = 0; index < m_runners.size(); ++index) {
        if (m_runners[index].listed && m_runners[index].id == id) {
            return index;
        }
    }
    return std::nullopt;
}

bool runner_table::is_local(std::size_t index) const {
    return at(index).region == m_own_region;
}

bool runner_table::is_available(std::size_t index, time_point now) const {
    const runner& r = m_runners[index];
    return r.listed && !r.leaving && now >= r.quarantined_until &&
           r.health.state() != health_state::suspected;
}

bool runner_table::is_usable(std::size_t index, time_point now) const {
    const runner& r = m_runners[index];
    // After a quarantine, one request at a time shows whether the runner works again.
    const std::uint32_t limit = r.next_quarantine > duration(0) ? 1 : r.slots;
    return r.outstanding < limit && now >= r.refused_until && is_available(index, now);
}

bool runner_table::any_available(bool local_only, time_point now) const {
    for (std::size_t index = 0; index < m_runners.size(); ++index) {
        if ((!local_only || is_local(index)) && is_available(index, now)) {
            return true;
        }
    }
    return false;
}

std::uint32_t runner_table::free_estimate(std::size_t index, time_point now) const {
    const runner& r = m_runners[index];
    const std::uint32_t own_free = r.slots > r.outstanding ? r.slots - r.outstanding : 0;
    if (!r.reported_free) {
        return own_free;
    }
    const auto unreported = static_cast<std::uint32_t>(r.unreported.size());
    const std::uint32_t left = *r.reported_free > unreported ? *r.reported_free - unreported : 0;
    // The report of a full runner is out of date after about the time in which a slot becomes free.
    // A wrong guess costs a round trip, which is worth it only for a runner that is near.
    const auto turnover = service_time() / std::max(r.slots, 1U);
    const bool guess = is_near(r, turnover) && now - r.reported_at > turnover;
    const std::uint32_t recovered = guess ? 1 : 0;
    return std::min(own_free, std::max(left, recovered));
}

void runner_table::on_sent(std::size_t index, time_point now) {
    runner& r = at(index);
    ++r.outstanding;
    r.unreported.push_back(now);
    ++m_outstanding;
}

void runner_table::on_response(std::size_t index, const runner_report& report, time_point now) {
    runner& r = at(index);
    r.last_response = now;
    if (report.slots && *report.slots > 0) {
        r.slots = *report.slots;
    }
    if (report.slots_free) {
        take_report(r, *report.slots_free, now);
    }
    if (!report.incarnation.empty()) {
        r.incarnation = report.incarnation;
    }
}

void runner_table::on_answer(std::size_t index, bool failed, duration service_time,
                             time_point now) {
    runner& r = at(index);
    r.refusals_in_row = 0;
    r.refused_until = time_point{};
    ++r.answers;
    r.failure_rate += failure_weight * ((failed ? 1.0 : 0.0) - r.failure_rate);
    if (failed) {
        if (r.answers >= min_answers_for_quarantine && r.failure_rate > high_failure_rate &&
            other_failure_rate(index) < low_failure_rate) {
            quarantine(r, now);
        }
        return;
    }
    if (r.failure_rate < low_failure_rate) {
        r.next_quarantine = duration(0);
    }
    ++m_answers;
    const double weight = std::max(service_time_weight, 1.0 / m_answers);
    m_service_time_us += weight * (static_cast<double>(service_time.count()) - m_service_time_us);
}

double runner_table::other_failure_rate(std::size_t index) const {
    double sum = 0;
    std::size_t count = 0;
    for (std::size_t other = 0; other < m_runners.size(); ++other) {
        if (other != index && m_runners[other].listed && m_runners[other].answers > 0) {
            sum += m_runners[other].failure_rate;
            ++count;
        }
    }
    // Without others to compare with, the requests themselves may be at fault.
    return count > 0 ? sum / static_cast<double>(count) : 1.0;
}

void runner_table::on_full(std::size_t index, time_point now) {
    runner& r = at(index);
    ++r.refusals_in_row;
    // A runner that reports free slots and still refuses is faulty rather than busy.
    const bool contradicts = r.reported_free && *r.reported_free > 0;
    take_report(r, 0, now);
    constexpr unsigned max_doublings = 10;
    const auto turnover = service_time() / std::max(r.slots, 1U);
    const duration cap = contradicts ? max_full_hold : std::max(turnover, min_full_hold);
    // The refusal of a distant runner is as old as its trip, and the next request needs the trip
    // again. Only one that refuses many times in a row is held for longer.
    const bool near = is_near(r, turnover);
    const duration base = near ? std::max(turnover / 4, min_full_hold) : min_full_hold;
    const unsigned free_refusals = near ? 1 : distant_refusals_without_hold;
    const unsigned doublings = r.refusals_in_row - std::min(r.refusals_in_row, free_refusals);
    const duration hold = base * (1U << std::min(doublings, max_doublings));
    r.refused_until = now + std::min({hold, cap, max_full_hold});
}

void runner_table::on_round_trip(std::size_t index, duration time) {
    runner& r = at(index);
    if (r.round_trip == duration(0) || time < r.round_trip) {
        r.round_trip = time;
        return;
    }
    const auto rise = static_cast<double>((time - r.round_trip).count());
    r.round_trip += duration(static_cast<duration::rep>(rise * round_trip_weight));
}

void runner_table::on_run_closed(std::size_t index) {
    --at(index).outstanding;
    --m_outstanding;
}

duration runner_table::service_time() const {
    return duration(static_cast<duration::rep>(m_service_time_us));
}

} // namespace buckthornspar::routing
