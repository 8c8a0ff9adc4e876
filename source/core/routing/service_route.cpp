#include "core/routing/service_route.h"

#include <algorithm>
#include <cmath>

namespace buckthornspar::routing {

namespace {

constexpr double rate_window_s = 0.5;
// Below this rate, an estimate of the wait would rest on too few answers.
constexpr double min_rate_per_s = 4;
// Estimated size of the request or status line and the header fields.
constexpr std::size_t message_overhead_bytes = 500;

double seconds(duration d) {
    return std::chrono::duration<double>(d).count();
}

duration from_seconds(double s) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(s));
}

} // namespace

void event_rate::add(time_point now) {
    m_rate = per_second(now) + 1 / rate_window_s;
    m_last = now;
}

double event_rate::per_second(time_point now) const {
    return m_rate * std::exp(-seconds(now - m_last) / rate_window_s);
}

bool byte_budget::has_remaining(time_point now) {
    m_remaining = std::min(m_remaining + seconds(now - m_last) * m_per_second, m_per_second);
    m_last = now;
    return m_remaining > 0;
}

service_route::service_route(const route_settings& settings)
    : queue(settings.queue),
      table(settings.setup.region),
      policy(policy_registry::instance().make(settings.policy, settings.setup)),
      m_settings(settings),
      m_budget(settings.crossing_bytes_per_s) {}

std::vector<std::size_t> service_route::update(const membership::instance_snapshot& list,
                                               time_point now) {
    auto added = table.update(name(), list, now);
    for (const std::size_t index : added) {
        policy->on_runner_added(index);
    }
    return added;
}

std::optional<std::size_t> service_route::choose(const std::vector<std::size_t>& excluded,
                                                 bool local, time_point now, common::rng& random) {
    return policy->choose({table, excluded, local, now, random});
}

// A request is sent to another region only when the wait that this avoids exceeds the network
// delay. The last request in the queue waits longest. The first one gets the next free slot of the
// entry's region, which is available sooner than the network delay between regions.
service_route::crossing_candidate service_route::find_crossing_candidate(time_point front_submitted,
                                                                         time_point now) {
    if (!m_budget.has_remaining(now)) {
        return crossing_candidate::none;
    }
    if (!table.any_available(true, now)) {
        return crossing_candidate::front;
    }
    const double rate = m_local_answers.per_second(now);
    if (rate < min_rate_per_s) {
        return now - front_submitted > m_settings.crossing_time ? crossing_candidate::front
                                                                : crossing_candidate::none;
    }
    const duration last_wait = from_seconds(static_cast<double>(queue.size()) / rate);
    return last_wait > m_settings.crossing_time ? crossing_candidate::back
                                                : crossing_candidate::none;
}

void service_route::on_sent(std::size_t index, std::size_t bytes, time_point now) {
    table.on_sent(index, now);
    count_crossing(index, bytes);
}

void service_route::on_answer(std::size_t index, bool failed, duration service_time,
                              std::size_t bytes, time_point now) {
    table.on_answer(index, failed, service_time, now);
    policy->on_answer(table, index, service_time, failed);
    count_crossing(index, bytes);
    m_answers.add(now);
    if (table.is_local(index)) {
        m_local_answers.add(now);
    }
}

void service_route::count_crossing(std::size_t index, std::size_t bytes) {
    if (!table.is_local(index)) {
        const auto total = static_cast<double>(bytes + message_overhead_bytes);
        m_budget.spend(total);
        m_crossing_bytes += total;
    }
}

// After a period of low load, the rate of answers reflects the demand of that period and
// underestimates the throughput that the runners can reach in a burst. The number of requests in
// progress divided by the service time estimates the present throughput. A deadline counts as
// unreachable only if the higher of the two rates cannot meet it.
duration service_route::expected_wait(request_class priority, time_point deadline,
                                      time_point now) const {
    const std::size_t ahead = queue.count_ahead(priority, deadline);
    const double service_time = seconds(table.service_time());
    if (ahead == 0 || !table.service_time_known() || service_time <= 0) {
        return duration(0);
    }
    const double rate = std::max(m_answers.per_second(now), table.outstanding() / service_time);
    return rate < min_rate_per_s ? duration(0) : from_seconds(static_cast<double>(ahead) / rate);
}

} // namespace buckthornspar::routing
