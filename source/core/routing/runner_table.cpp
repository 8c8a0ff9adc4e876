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
constexpr duration min_full_backoff = std::chrono::milliseconds(1);
constexpr duration max_full_backoff = std::chrono::seconds(1);
// A runner that has been unlisted for longer than this has been terminated by the platform.
constexpr duration unlisted_retention = std::chrono::seconds(60);
constexpr double service_time_weight = 0.02;
constexpr unsigned default_slots = 8;
// A runner is near when more than this many round trips fit into the time in which one of its slots
// becomes free.
constexpr int near_round_trips = 4;
constexpr unsigned distant_refusals_before_doubling = 16;
constexpr double round_trip_weight = 0.2;

void update_from_instance(runner& r, const membership::instance& i) {
    r.id = i.id;
    r.address = i.address;
    r.region = i.region;
    r.listed = true;
    // A refusal with the reason "leaving" also sets the flag. A stale instance list must not clear
    // it.
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
    return r.round_trip * near_round_trips < turnover;
}

// The runner made the report half a round trip ago, and requests need another half to reach it. The
// report therefore covers only requests that were sent at least one round trip ago.
void apply_report(runner& r, std::uint32_t slots_free, time_point now) {
    r.reported_free = slots_free;
    r.reported_at = now;
    while (!r.unreported_sends.empty() && r.unreported_sends.front() <= now - r.round_trip) {
        r.unreported_sends.pop_front();
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
            update_from_instance(at(position->second), i);
            continue;
        }
        const std::size_t index = index_for_new_runner();
        update_from_instance(at(index), i);
        at(index).last_response = now;
        added.push_back(index);
    }
    for (auto& r : m_runners) {
        if (!r.listed && r.open_calls == 0 && now - r.unlisted_since > unlisted_retention) {
            r = runner{};
            r.listed = false;
        }
    }
    return added;
}

std::size_t runner_table::index_for_new_runner() {
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
    // After a quarantine, requests are sent one at a time until the runner is known to work again.
    const std::uint32_t limit = r.next_quarantine > duration(0) ? 1 : r.slots;
    return r.outstanding < limit && now >= r.backoff_until && is_available(index, now);
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
    const auto unreported_sends = static_cast<std::uint32_t>(r.unreported_sends.size());
    const std::uint32_t reported_left =
        *r.reported_free > unreported_sends ? *r.reported_free - unreported_sends : 0;
    // The report of a full runner is outdated after about the time in which a slot becomes free. A
    // refusal costs a round trip, so one free slot is assumed only for a runner that is near.
    const auto turnover = service_time() / std::max(r.slots, 1U);
    const bool assume_free_slot = is_near(r, turnover) && now - r.reported_at > turnover;
    const std::uint32_t assumed_free = assume_free_slot ? 1 : 0;
    return std::min(own_free, std::max(reported_left, assumed_free));
}

void runner_table::on_sent(std::size_t index, time_point now) {
    runner& r = at(index);
    ++r.outstanding;
    r.unreported_sends.push_back(now);
    ++m_outstanding;
}

void runner_table::on_response(std::size_t index, const runner_report& report, time_point now) {
    runner& r = at(index);
    r.last_response = now;
    if (report.slots && *report.slots > 0) {
        r.slots = *report.slots;
    }
    if (report.slots_free) {
        apply_report(r, *report.slots_free, now);
    }
    if (!report.incarnation.empty()) {
        r.incarnation = report.incarnation;
    }
}

void runner_table::on_answer(std::size_t index, bool failed, duration service_time,
                             time_point now) {
    runner& r = at(index);
    r.consecutive_refusals = 0;
    r.backoff_until = time_point{};
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
    // Without other runners to compare with, the requests themselves may be the cause. The maximum
    // rate prevents a quarantine.
    return count > 0 ? sum / static_cast<double>(count) : 1.0;
}

void runner_table::on_full_refusal(std::size_t index, time_point now) {
    runner& r = at(index);
    ++r.consecutive_refusals;
    // A runner that refuses although it reports free slots is faulty rather than full.
    const bool contradicts = r.reported_free && *r.reported_free > 0;
    apply_report(r, 0, now);
    constexpr unsigned max_doublings = 10;
    const auto turnover = service_time() / std::max(r.slots, 1U);
    const duration cap = contradicts ? max_full_backoff : std::max(turnover, min_full_backoff);
    // The refusal of a distant runner is outdated by the network delay, and the next request takes
    // as long to arrive. Such a runner gets longer backoffs only after many consecutive refusals.
    const bool near = is_near(r, turnover);
    const duration base = near ? std::max(turnover / 4, min_full_backoff) : min_full_backoff;
    const unsigned refusals_before_doubling = near ? 1 : distant_refusals_before_doubling;
    const unsigned doublings =
        r.consecutive_refusals - std::min(r.consecutive_refusals, refusals_before_doubling);
    const duration backoff_time = base * (1U << std::min(doublings, max_doublings));
    r.backoff_until = now + std::min({backoff_time, cap, max_full_backoff});
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

void runner_table::on_run_completed(std::size_t index) {
    --at(index).outstanding;
    --m_outstanding;
}

duration runner_table::service_time() const {
    return duration(static_cast<duration::rep>(m_service_time_us));
}

} // namespace buckthornspar::routing
