#include "core/placement/usage_model.h"

#include <algorithm>

namespace buckthornspar::placement {

void usage_model::report(const usage_report& report) {
    running_task& task = m_running[report.task];
    if (task.newest.task.empty() || report.measured > task.newest.measured) {
        task.newest = report;
    }
    task.peak.cpu_milli = std::max(task.peak.cpu_milli, report.used.cpu_milli);
    task.peak.memory_mb = std::max(task.peak.memory_mb, report.used.memory_mb);
    task.peak.accelerators = std::max(task.peak.accelerators, report.used.accelerators);
}

void usage_model::task_ended(const std::string& task, const std::string& family,
                             common::duration run) {
    family_samples& samples = samples_of(family);
    add_sample(samples.runs, samples.next_run, run);
    const auto reported = m_running.find(task);
    if (reported != m_running.end()) {
        add_sample(samples.peaks, samples.next_peak, reported->second.peak);
        m_running.erase(reported);
    }
}

void usage_model::task_ended_early(const std::string& task) {
    m_running.erase(task);
}

common::duration usage_model::expected_run(const std::string& family,
                                           common::duration declared) const {
    const family_samples* samples = find(family);
    if (!samples || samples->runs.size() < m_settings.min_samples) {
        return declared;
    }
    std::vector<std::int64_t> values;
    for (const common::duration run : samples->runs) {
        values.push_back(run.count());
    }
    return common::duration(value_at_percentile(std::move(values)));
}

resources usage_model::expected_use(const std::string& family, const resources& declared) const {
    const family_samples* samples = find(family);
    if (!samples || samples->peaks.size() < m_settings.min_samples) {
        return declared;
    }
    const auto amount = [&](std::int64_t resources::*member) {
        std::vector<std::int64_t> values;
        for (const resources& peak : samples->peaks) {
            values.push_back(peak.*member);
        }
        return value_at_percentile(std::move(values));
    };
    return {amount(&resources::cpu_milli), amount(&resources::memory_mb),
            amount(&resources::accelerators)};
}

std::optional<usage_report> usage_model::latest(const std::string& task) const {
    const auto position = m_running.find(task);
    if (position == m_running.end()) {
        return std::nullopt;
    }
    return position->second.newest;
}

usage_model::family_samples& usage_model::samples_of(const std::string& family) {
    const auto [position, inserted] = m_families.try_emplace(family);
    family_samples& samples = position->second;
    if (!inserted) {
        m_recency.splice(m_recency.end(), m_recency, samples.recency);
        return samples;
    }
    samples.recency = m_recency.insert(m_recency.end(), family);
    if (m_families.size() > m_settings.max_families) {
        m_families.erase(m_recency.front());
        m_recency.pop_front();
    }
    return samples;
}

template <typename T>
void usage_model::add_sample(std::vector<T>& samples, std::size_t& next, const T& result) const {
    if (samples.size() < m_settings.max_samples) {
        samples.push_back(result);
        return;
    }
    samples[next] = result;
    next = (next + 1) % samples.size();
}

const usage_model::family_samples* usage_model::find(const std::string& family) const {
    const auto position = m_families.find(family);
    return position == m_families.end() ? nullptr : &position->second;
}

std::int64_t usage_model::value_at_percentile(std::vector<std::int64_t> values) const {
    const std::size_t last = values.size() - 1;
    const std::size_t rank = std::min(last, values.size() * m_settings.percentile / 100);
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

} // namespace buckthornspar::placement
