#pragma once

#include "soak/twice_check.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::soak {

/// Checks that no accepted job is lost. A job of a soak is one task or one gang, and nobody cancels
/// it. It must not be shown as failed unless three of its runs have failed or two workers have
/// crashed under one of its tasks, must not be unknown 3 s after its acceptance, and must not have
/// nothing running for 3 s in a calm service that has room for it twice over.
class lost_check {
public:
    /// Free places for tasks of a job, 0 when a job may wait for another reason.
    using room = std::function<std::size_t(const std::string& job)>;

    void accept(const std::string& job, std::size_t tasks, std::int64_t at_ms);
    void show(const std::string& job, const std::string& state, std::int64_t at_ms);
    void show_unknown(const std::string& job, std::int64_t at_ms);

    void begin(const run_event& run);
    void end(const run_event& run, const std::string& how);
    void acknowledge(const run_event& run);
    /// The ends of the worker that are not acknowledged do not count.
    void lapse(const std::string& worker);
    void crash(const std::string& worker);

    /// Looks for jobs that wait. Called periodically in calm.
    void watch(const room& places, std::int64_t at_ms);

    /// Accepted jobs that have not been shown as ended.
    [[nodiscard]] std::vector<std::string> open_jobs() const;
    [[nodiscard]] std::size_t tasks_of(const std::string& job) const {
        return m_jobs.at(job).tasks;
    }
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

private:
    struct done_end {
        run_event run;
        bool acknowledged = false;
    };
    struct job_history {
        std::size_t tasks = 0;
        std::optional<std::int64_t> accepted_ms;
        std::optional<std::int64_t> final_ms;
        /// Run numbers, which the members of a gang share.
        std::set<std::uint32_t> failed_runs;
        std::map<std::string, int> crashes;
        std::vector<run_event> active;
        std::vector<done_end> done;
        std::optional<std::int64_t> waits_since_ms;
        std::set<std::string> reported;
    };

    void report(job_history& job, const std::string& what, const std::string& detail);

    std::map<std::string, job_history> m_jobs;
    std::vector<std::string> m_violations;
};

} // namespace buckthornspar::soak
