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

/// A worker's report on the resource use of a running task. Reports arrive late and out of order.
struct usage_report {
    std::string task;
    std::string family;
    resources used;
    /// Time of the measurement, not of arrival.
    common::time_point measured;
};

struct usage_settings {
    /// Number of most recent samples kept per family.
    std::size_t max_samples = 32;
    /// With fewer samples the declared values are used.
    std::size_t min_samples = 4;
    /// Maximum number of families; the least recently used one is evicted first.
    std::size_t max_families = 10000;
    /// Percentile of the samples that is used as the expected value.
    unsigned percentile = 90;
};

/// Learns run time and resource use per job family from ended tasks and delayed reports, because
/// declared sizes and run times differ widely from the actual values. The expected values are used
/// for planning and for choosing what to restrict under pressure. The engine allocates the declared
/// demand, so that no worker is overcommitted.
class usage_model {
public:
    explicit usage_model(usage_settings settings = {}) : m_settings(settings) {}

    /// Updates the peak use of the task, even when newer reports arrived before.
    void report(const usage_report& report);

    /// The task ran to its end; its peak use becomes a sample of its family.
    void task_ended(const std::string& task, const std::string& family, common::duration run);

    /// The task ended early (cancelled, stopped, lapsed), so that its run time is not
    /// representative.
    void task_ended_early(const std::string& task);

    /// Run time that most tasks of the family do not exceed; `declared` when there are too few
    /// samples.
    [[nodiscard]] common::duration expected_run(const std::string& family,
                                                common::duration declared) const;

    /// Resource use that most tasks of the family do not exceed; `declared` when there are too few
    /// samples.
    [[nodiscard]] resources expected_use(const std::string& family,
                                         const resources& declared) const;

    /// Most recently measured use of a running task.
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
    [[nodiscard]] std::int64_t value_at_percentile(std::vector<std::int64_t> values) const;

    usage_settings m_settings;
    std::unordered_map<std::string, running_task> m_running;
    std::unordered_map<std::string, family_samples> m_families;
    /// Families in order of use, least recently used first.
    std::list<std::string> m_recency;
};

} // namespace buckthornspar::placement
