#pragma once

#include "core/common/clock.h"
#include "core/placement/resources.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// What a worker says about the use of a running task. It arrives late and out of order.
struct usage_report {
    std::string task;
    std::string family;
    resources used;
    /// When it was measured, not when it arrived.
    common::time_point measured;
};

struct usage_settings {
    /// Most recent results kept per family.
    std::size_t max_samples = 32;
    /// Results below which the declared values are believed.
    std::size_t min_samples = 4;
    /// Families kept; the one that was used least recently is forgotten first.
    std::size_t max_families = 10000;
    /// Share of the kept results that an expectation covers, in percent.
    unsigned percentile = 90;
};

/// Learns run time and use per job family from ended tasks and lagging reports, because declared
/// sizes and run times are far from the actual values. What it expects serves planning and the
/// choice of what to restrict under pressure; the promises of the engine stay at the declared
/// demand, so that no worker is overcommitted.
class usage_model {
public:
    explicit usage_model(usage_settings settings = {}) : m_settings(settings) {}

    /// Counts towards the peak use of the task, even when newer reports arrived before.
    void report(const usage_report& report);

    /// The task ran to its end; its peak use becomes a result of its family.
    void task_ended(const std::string& task, const std::string& family, common::duration run);

    /// The task ended early (cancelled, stopped, lapsed): it tells nothing about the run time.
    void task_ended_early(const std::string& task);

    /// Run time that most tasks of the family do not exceed.
    [[nodiscard]] common::duration expected_run(const std::string& family,
                                                common::duration declared) const;

    /// Use that most tasks of the family do not exceed.
    [[nodiscard]] resources expected_use(const std::string& family,
                                         const resources& declared) const;

    /// Newest use of a running task, by time of measurement.
    [[nodiscard]] std::optional<usage_report> latest(const std::string& task) const;

    [[nodiscard]] std::size_t families() const { return m_families.size(); }

private:
    struct running_task {
        usage_report newest;
        resources peak;
    };
    struct family_samples {
        std::vector<common::duration> runs;
        std::vector<resources> peaks;
        std::size_t next_run = 0;
        std::size_t next_peak = 0;
        std::list<std::string>::iterator recency;
    };

    family_samples& samples_of(const std::string& family);
    template <typename T>
    void add_sample(std::vector<T>& samples, std::size_t& next, const T& result) const;
    [[nodiscard]] const family_samples* find(const std::string& family) const;
    /// Value at percentile.
    [[nodiscard]] std::int64_t value_at_percentile(std::vector<std::int64_t> values) const;

    usage_settings m_settings;
    std::unordered_map<std::string, running_task> m_running;
    std::unordered_map<std::string, family_samples> m_families;
    /// Least recently used first.
    std::list<std::string> m_recency;
};

} // namespace buckthornspar::placement
