#include "core/dispatch/job_shares.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace buckthornspar::dispatch {

namespace {

// Behind all entitled work, whatever the priority of its queue.
constexpr int excess_rank = 1 << 30;
// The virtual time of the queueing is in seconds of the whole fleet for a customer with weight 1. A
// small job of a large customer takes less than a microsecond of it.
constexpr double ticks_per_fleet_second = 1e9;
constexpr double max_ticks = 9e18;
// Clocks of nodes jump. A job is not taken for older than this at a take-over.
constexpr std::int64_t max_age_ms = 60'000;

} // namespace

bool is_excess(const step_position& position) {
    return position.rank >= excess_rank;
}

double resource_seconds::dominant_share(const placement::resources& fleet) const {
    const auto share = [](double use, std::int64_t capacity) {
        return capacity > 0 ? use / static_cast<double>(capacity) : 0.0;
    };
    return std::max({share(cpu_milli, fleet.cpu_milli), share(memory_mb, fleet.memory_mb),
                     share(accelerators, fleet.accelerators)});
}

resource_seconds use_of(const std::vector<step_spec>& steps) {
    resource_seconds use;
    for (const auto& step : steps) {
        const auto demand = step.allocation();
        const auto seconds =
            static_cast<double>(step.count) * static_cast<double>(step.estimate_ms) / 1000.0;
        use.cpu_milli += static_cast<double>(demand.cpu_milli) * seconds;
        use.memory_mb += static_cast<double>(demand.memory_mb) * seconds;
        use.accelerators += static_cast<double>(demand.accelerators) * seconds;
    }
    return use;
}

void job_shares::set_customers(const std::vector<customers::customer_settings>& customers) {
    m_order.set_customers(customers);
}

void job_shares::add(const job_entry& job, bool urgent) {
    if (job.spec.customer.empty()) {
        return;
    }
    m_unsettled[{job.revision, job.spec.id}] = {
        job.spec.customer,    use_of(job.spec.steps),         job.spec.accepted_by,
        job.spec.accepted_ms, job.state != job_state::queued, urgent};
}

// Times of acceptance are compared only among the jobs that the same node accepted, because the
// clocks of nodes differ by seconds.
void job_shares::settle(common::time_point now, const placement::resources& fleet) {
    std::map<std::string, std::int64_t> latest;
    for (const auto& [key, job] : m_unsettled) {
        const auto [known, added] = latest.try_emplace(job.accepted_by, job.accepted_ms);
        known->second = std::max(known->second, job.accepted_ms);
    }
    for (const auto& [key, job] : m_unsettled) {
        const auto age =
            std::clamp<std::int64_t>(latest[job.accepted_by] - job.accepted_ms, 0, max_age_ms);
        m_order.add({key.second, job.customer, now - std::chrono::milliseconds(age),
                     job.use.dominant_share(fleet), job.urgent});
        if (job.begun) {
            m_order.on_begun(key.second);
        }
    }
    m_unsettled.clear();
}

void job_shares::erase(const std::string& job) {
    std::erase_if(m_unsettled, [&job](const auto& entry) { return entry.first.second == job; });
    m_order.erase(job);
}

std::vector<std::string> job_shares::take_aged(common::time_point now) {
    auto jobs = m_order.take_aged(now);
    while (!m_changes.empty() && m_changes.begin()->first <= now) {
        jobs.push_back(m_changes.begin()->second);
        m_changes.erase(m_changes.begin());
    }
    return jobs;
}

step_position job_shares::place(common::time_point now, const step_position& by_urgency,
                                const step_deadline& deadline) {
    if (!is_active()) {
        return by_urgency;
    }
    // Leaves a rank behind the entitled work of the most urgent priority.
    auto position = by_urgency;
    position.rank *= 2;
    const auto share = m_order.class_of(by_urgency.step.job);
    if (share == customers::share_class::entitled) {
        // In the order by deadline alone, steps that are late already go before those that are not,
        // and with too little room all of them become late.
        const auto goes_first_at = deadline.latest_start + deadline.objective * 3 / 2;
        if (by_urgency.rank > 0 && deadline.objective.count() > 0 && now < goes_first_at) {
            const bool late = now >= deadline.latest_start;
            position.rank += late ? 1 : 0;
            m_changes.emplace(late ? goes_first_at : deadline.latest_start, by_urgency.step.job);
        }
        return position;
    }
    if (share == customers::share_class::urgent) {
        ++position.rank;
        return position;
    }
    const auto place = m_order.excess_place(by_urgency.step.job);
    const auto ticks = std::min(max_ticks, place.value_or(0.0) * ticks_per_fleet_second);
    const common::duration virtual_time(static_cast<common::duration::rep>(ticks));
    return {excess_rank + position.rank, common::time_point(virtual_time), by_urgency.step};
}

} // namespace buckthornspar::dispatch
