#pragma once

#include "core/common/clock.h"
#include "core/common/number_set.h"
#include "core/dispatch/progress.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace buckthornspar::dispatch {

/// Where a task runs or may be running.
struct run_location {
    std::string worker;
    std::uint32_t run = 0;

    bool operator==(const run_location&) const = default;
};

struct task_state {
    task_progress progress;
    std::optional<run_location> current;
    common::time_point not_before;
    /// Workers on which the task has failed; others are preferred.
    std::set<std::string> failed_on;

    [[nodiscard]] bool may_start(common::time_point now) const {
        return !progress.succeeded && !current && now >= not_before;
    }
    /// Part of likely_crashes() for which it is not certain yet that the worker has crashed.
    std::uint32_t pending_crashes = 0;
    /// Value of all_crashes() that the store holds, and that the pending batch contains.
    std::uint32_t crashes_stored = 0;
    std::uint32_t crashes_in_batch = 0;

    /// A worker crashed that had not confirmed the start of the task.
    bool suspected = false;

    [[nodiscard]] std::uint32_t likely_crashes() const {
        return progress.crashes + progress.possible_crashes;
    }
    [[nodiscard]] std::uint32_t all_crashes() const {
        return likely_crashes() + progress.silent_losses;
    }
    /// The task may have crashed a worker.
    [[nodiscard]] bool is_suspected() const { return suspected || all_crashes() > 0; }
};

/// The states of the tasks of a step. Memory is used only by tasks that have been started and have
/// not succeeded: all others have one of two states that they share.
class task_table {
public:
    /// The state of a task that has not been started, and of one that has succeeded.
    [[nodiscard]] static const task_state& untouched();
    [[nodiscard]] static const task_state& succeeded_state();

    explicit task_table(std::uint32_t count = 0) : m_count(count) {}

    [[nodiscard]] std::uint32_t size() const { return m_count; }
    /// The reference is valid until the task changes.
    [[nodiscard]] const task_state& operator[](std::uint32_t index) const;
    /// The task's own state; the task must not be one of succeeded(). The reference is valid until
    /// the task has succeeded.
    [[nodiscard]] task_state& edit(std::uint32_t index) { return m_own[index]; }
    /// The tasks with a state of their own, by index.
    [[nodiscard]] const std::map<std::uint32_t, task_state>& own() const { return m_own; }
    [[nodiscard]] std::map<std::uint32_t, task_state>& own() { return m_own; }
    /// Succeeded tasks without a run.
    [[nodiscard]] const common::number_set& succeeded() const { return m_succeeded; }
    /// The first task from the index on that is not one of succeeded(); size() if there is none.
    [[nodiscard]] std::uint32_t next_open(std::uint32_t from) const;
    /// The same among the tasks with a state of their own, unless new ones may be started as well.
    [[nodiscard]] std::uint32_t next_candidate(std::uint32_t from, bool any_new) const;
    void mark_succeeded(std::uint32_t index);
    /// The same for tasks that have no state of their own.
    void mark_succeeded(std::uint32_t first, std::uint32_t last) {
        m_succeeded.insert(first, last);
    }
    /// Ends the run of the task, if it has one; false otherwise.
    bool clear_current(std::uint32_t index);

private:
    void release(std::map<std::uint32_t, task_state>::iterator task);

    std::uint32_t m_count = 0;
    std::map<std::uint32_t, task_state> m_own;
    common::number_set m_succeeded;
};

} // namespace buckthornspar::dispatch
