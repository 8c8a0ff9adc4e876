#pragma once

#include "core/routing/routing_messages.h"
#include "fakes/runner_model.h"
#include "scenario/runner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::scenario {

/// A submission of a caller, and its answer.
struct submission {
    std::string id;
    std::string entry;
    bool idempotent = false;
    bool repeat = false;
    common::time_point submitted{};
    common::time_point deadline{};
    common::time_point answered{};
    std::optional<routing::caller_answer> answer;
    /// The entry was killed; no answer is expected.
    bool abandoned = false;
};

/// Checks the invariants of the request path. Throws violation.
class routing_checks {
public:
    void on_submitted(std::uint64_t key, submission s);
    void on_answer(const routing::caller_answer& answer, common::time_point now);
    void on_entry_killed(const std::string& entry);
    void on_run_sent(const std::string& runner, std::optional<common::time_point> leaving_since,
                     common::time_point now);
    /// Checks all executions that started or ended since the last call.
    void on_runner_event(const fakes::runner_model& runner);
    void on_end(common::time_point now) const;

    [[nodiscard]] const std::map<std::uint64_t, submission>& submissions() const {
        return m_submissions;
    }
    /// Percentile of the response times of the requests submitted in this interval. Throws
    /// violation when there are none, or when one of them has no answer or has not run.
    [[nodiscard]] common::duration response_time(common::time_point from, common::time_point until,
                                                 std::int64_t percent) const;
    [[nodiscard]] std::size_t executions(const std::string& id) const;

private:
    struct request_record {
        bool idempotent = false;
        bool repeated = false;
        std::size_t executions = 0;
        std::set<std::pair<std::string, std::size_t>> open;
        /// The outcome not_run was reported, and no repeat has followed.
        bool reported_not_run = false;
    };
    struct runner_record {
        std::size_t seen = 0;
        std::set<std::size_t> open;
    };

    void on_started(const std::string& runner, std::size_t number, const std::string& id);

    std::map<std::uint64_t, submission> m_submissions;
    std::map<std::string, request_record> m_requests;
    std::map<std::string, runner_record> m_runners;
};

} // namespace buckthornspar::scenario
