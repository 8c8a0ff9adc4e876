#include "core/dispatch/job_entry.h"

#include "core/common/error.h"

#include <algorithm>

namespace buckthornspar::dispatch {

namespace {

// More would exceed the size of a worker's task list or of a store record.
constexpr std::uint32_t max_tasks_per_job = 20'000;

void validate(const job_spec& spec) {
    std::uint64_t tasks = 0;
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        tasks += spec.steps[i].count;
        for (const auto earlier : spec.steps[i].after) {
            if (earlier >= i) {
                throw common::format_error("a step depends on one that does not precede it");
            }
        }
    }
    if (spec.steps.empty() || tasks == 0 || tasks > max_tasks_per_job) {
        throw common::format_error("a job needs between 1 and " +
                                   std::to_string(max_tasks_per_job) + " tasks");
    }
}

// Steps have a state each while their occurrence is open.
constexpr std::size_t max_steps_per_job = 2'000;
// Larger times would exceed the range of the clock's arithmetic, which adds them up in
// microseconds.
constexpr std::int64_t max_estimate_ms = std::int64_t{10} * 366 * 24 * 3600 * 1000;
constexpr std::int64_t max_first_ms = std::int64_t{1} << 50U;
constexpr std::int64_t max_schedule_ms = std::int64_t{1} << 61U;

// Overhead of a block of memory and of a node of a tree.
constexpr std::int64_t node_overhead = 48;

std::int64_t memory_of(const std::string& text) {
    return static_cast<std::int64_t>(text.capacity() + 1);
}

// The critical path through a step and later ones is the longest chain that begins with any of
// them, because a step only depends on earlier ones.
std::vector<std::int64_t> find_critical_paths(const job_spec& spec) {
    std::vector<std::int64_t> paths(spec.steps.size(), 0);
    std::vector<std::int64_t> longest_after(spec.steps.size(), 0);
    std::int64_t longest = 0;
    for (auto s = spec.steps.size(); s-- > 0;) {
        const auto chain = longest_after[s] + spec.steps[s].estimate_ms;
        for (const auto earlier : spec.steps[s].after) {
            longest_after[earlier] = std::max(longest_after[earlier], chain);
        }
        longest = std::max(longest, chain);
        paths[s] = longest;
    }
    return paths;
}

occurrence_state make_occurrence(const job_spec& spec) {
    occurrence_state occurrence;
    for (const auto& step : spec.steps) {
        step_state state;
        state.tasks = task_table(step.count);
        occurrence.steps.push_back(std::move(state));
    }
    return occurrence;
}

[[noreturn]] void throw_no_such_task() {
    throw common::format_error("progress refers to a task that the job does not have");
}

void restore(job_entry& job, const job_progress& progress) {
    job.possible_runs = progress.possible_runs;
    job.finished = progress.finished;
    const auto& finished = job.finished.ranges();
    if (!finished.empty() && finished.rbegin()->second >= job.spec.occurrence_count()) {
        throw_no_such_task();
    }
    for (const auto& [step, tasks] : progress.succeeded) {
        for (const auto& [first, last] : tasks.ranges()) {
            if (job.find({job.spec.id, step.occurrence, step.step, last}) == nullptr) {
                throw_no_such_task();
            }
            if (!job.finished.contains(step.occurrence)) {
                job.open(step.occurrence).steps[step.step].set_succeeded(first, last);
            }
        }
        // Records of earlier versions have rows for the tasks of finished occurrences.
        job.close_if_complete(step.occurrence);
    }
    for (const auto& [key, known] : progress.tasks) {
        const auto* const state = job.find(key);
        if (state == nullptr) {
            throw_no_such_task();
        }
        if (state->progress.succeeded) {
            continue;
        }
        auto& task = job.edit(key);
        task.progress = known;
        task.crashes_stored = task.all_crashes();
        if (job.spec_of(key).gang && !known.checkpoint.empty()) {
            job.find_step(key)->gang_checkpoint = known.checkpoint;
        }
    }
    if (job.spec.schedule.repeats == 0 && !job.finished.contains(0)) {
        job.open(0);
    }
}

} // namespace

void step_tickets::mark_asked(worker_slot worker) {
    if (worker >= asked.size()) {
        asked.resize(worker + 1, false);
    }
    asked[worker] = true;
}

ticket_state* step_tickets::find(worker_slot worker) {
    const auto position =
        std::find_if(granted.begin(), granted.end(),
                     [worker](const ticket_state& t) { return t.worker == worker; });
    return position == granted.end() ? nullptr : &*position;
}

void step_tickets::add_grant(worker_slot worker, std::string ticket, common::time_point expires) {
    if (auto* const known = find(worker)) {
        known->ticket = std::move(ticket);
        known->expires = expires;
        return;
    }
    granted.push_back({worker, std::move(ticket), expires});
}

bool step_state::may_start(const step_spec& spec, std::uint32_t index, common::time_point now,
                           std::uint32_t crash_limit) const {
    const auto& task = tasks[index];
    if (!task.may_start(now) || !task.is_suspected()) {
        return task.may_start(now);
    }
    // A successor must know of all crashes but the first before another one can follow: this owner
    // may not be able to store any more. Tasks whose worker was lost once start again in a store
    // outage.
    const auto unstored = task.all_crashes() - std::min(task.all_crashes(), task.crashes_stored);
    if (unstored > 1 || (unstored > 0 && task.likely_crashes() > 1)) {
        return false;
    }
    // The job may end as soon as the last crash is certain.
    if (task.pending_crashes > 0 && task.likely_crashes() >= crash_limit) {
        return false;
    }
    return spec.gang || probe_passed || now >= probe_until;
}

void step_state::set_current(std::uint32_t index, run_location place) {
    auto& task = tasks.edit(index);
    placed += task.current ? 0U : 1U;
    task.current = std::move(place);
    gang_stopped = false;
}

void step_state::clear_current(std::uint32_t index) {
    placed -= tasks.clear_current(index) ? 1U : 0U;
}

void step_state::set_succeeded(std::uint32_t index) {
    if (tasks[index].progress.succeeded) {
        return;
    }
    tasks.mark_succeeded(index);
    ++succeeded;
}

void step_state::set_succeeded(std::uint32_t first, std::uint32_t last) {
    tasks.mark_succeeded(first, last);
    succeeded += last - first + 1;
}

std::uint32_t step_state::failures() const {
    std::uint32_t sum = 0;
    for (const auto& [index, task] : tasks.own()) {
        sum += task.progress.failures;
    }
    return sum;
}

std::uint32_t step_state::last_run() const {
    std::uint32_t last = 0;
    for (const auto& [index, task] : tasks.own()) {
        last = std::max(last, task.progress.last_run);
    }
    return last;
}

bool occurrence_state::complete() const {
    return std::all_of(steps.begin(), steps.end(),
                       [](const step_state& step) { return step.complete(); });
}

bool occurrence_state::any_current() const {
    return std::any_of(steps.begin(), steps.end(),
                       [](const step_state& step) { return step.any_current(); });
}

bool occurrence_state::ready(const job_spec& spec, std::uint32_t step) const {
    const auto& after = spec.steps[step].after;
    return std::all_of(after.begin(), after.end(),
                       [this](std::uint32_t earlier) { return steps[earlier].complete(); });
}

job_progress job_entry::progress() const {
    job_progress result;
    result.state = state;
    if (is_final(state)) {
        result.accepted_by = spec.accepted_by;
        if (!spec.customer.empty()) {
            result.origin = spec.origin();
        }
        return result;
    }
    result.possible_runs = possible_runs;
    result.finished = finished;
    for (const auto& [number, occurrence] : occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            const auto& tasks = occurrence.steps[s].tasks;
            auto succeeded = tasks.succeeded();
            for (const auto& [i, task] : tasks.own()) {
                if (task.progress.succeeded) {
                    succeeded.insert(i);
                } else if (!task.progress.empty()) {
                    result.tasks[{spec.id, number, s, i}] = task.progress;
                }
            }
            if (!succeeded.empty()) {
                result.succeeded[{number, s}] = std::move(succeeded);
            }
        }
    }
    return result;
}

std::optional<std::uint32_t> job_entry::next_occurrence() {
    while (m_first_unopened < spec.occurrence_count()) {
        m_first_unopened = finished.first_missing(m_first_unopened).value_or(m_first_unopened);
        if (!occurrences.contains(m_first_unopened)) {
            break;
        }
        ++m_first_unopened;
    }
    return m_first_unopened < spec.occurrence_count() ? std::optional(m_first_unopened)
                                                      : std::nullopt;
}

occurrence_state& job_entry::open(std::uint32_t number) {
    const auto found = occurrences.find(number);
    return found == occurrences.end()
               ? occurrences.emplace(number, make_occurrence(spec)).first->second
               : found->second;
}

void job_entry::close_if_complete(std::uint32_t number) {
    const auto found = occurrences.find(number);
    if (found != occurrences.end() && found->second.complete()) {
        occurrences.erase(found);
        finished.insert(number);
    }
}

step_state* job_entry::find_step(const task_key& task) {
    const auto found = occurrences.find(task.occurrence);
    return found == occurrences.end() || task.step >= spec.steps.size()
               ? nullptr
               : &found->second.steps[task.step];
}

const task_state* job_entry::find(const task_key& task) const {
    if (task.occurrence >= spec.occurrence_count() || task.step >= spec.steps.size() ||
        task.index >= spec.steps[task.step].count) {
        return nullptr;
    }
    if (finished.contains(task.occurrence)) {
        return &task_table::succeeded_state();
    }
    const auto found = occurrences.find(task.occurrence);
    return found == occurrences.end() ? &task_table::untouched()
                                      : &found->second.steps[task.step].tasks[task.index];
}

task_state& job_entry::edit(const task_key& task) {
    return open(task.occurrence).steps[task.step].tasks.edit(task.index);
}

std::shared_ptr<const std::string> job_entry::share_payload() {
    auto shared = m_payload.lock();
    if (!shared && !spec.payload.empty()) {
        shared = std::make_shared<const std::string>(spec.payload);
        m_payload = shared;
    }
    return shared;
}

job_entry make_job(const job_spec& spec, const job_progress& progress, std::uint64_t revision,
                   common::time_point now) {
    validate(spec);
    job_entry job;
    job.spec = spec;
    job.revision = revision;
    job.first_seen_at = now;
    job.critical_paths_ms = find_critical_paths(spec);
    restore(job, progress);
    // The numbers of runs show only what was ordered, which may never have reached a worker.
    const bool begun = progress.state == job_state::running || !progress.finished.empty() ||
                       !progress.succeeded.empty();
    job.state = begun ? job_state::running : job_state::queued;
    return job;
}

void check_submission(const job_spec& spec) {
    validate(spec);
    if (spec.steps.size() > max_steps_per_job) {
        throw common::format_error("a job may have at most " + std::to_string(max_steps_per_job) +
                                   " steps");
    }
    const auto& schedule = spec.schedule;
    if (schedule.repeats > 0 &&
        (schedule.first_ms < 0 || schedule.first_ms > max_first_ms || schedule.interval_ms < 0 ||
         schedule.interval_ms > max_schedule_ms / schedule.repeats)) {
        throw common::format_error("the times of the schedule are out of range");
    }
    for (const auto& step : spec.steps) {
        if (step.estimate_ms < 0 || step.estimate_ms > max_estimate_ms) {
            throw common::format_error("the estimate of a step is out of range");
        }
    }
}

std::int64_t memory_of(const job_spec& spec) {
    // The id is also the key of several tables.
    constexpr std::int64_t copies_of_id = 4;
    // Entries of a job with a waiting step in the tables of waiting steps.
    constexpr std::int64_t waiting_step_bytes = 320;
    auto bytes = static_cast<std::int64_t>(sizeof(job_entry) + sizeof(occurrence_state)) +
                 waiting_step_bytes + copies_of_id * (node_overhead + memory_of(spec.id)) +
                 memory_of(spec.payload) + memory_of(spec.queue) + memory_of(spec.customer) +
                 memory_of(spec.accepted_by);
    for (const auto& step : spec.steps) {
        bytes +=
            static_cast<std::int64_t>(sizeof(step_spec) + sizeof(step_state) +
                                      sizeof(std::int64_t)) +
            node_overhead + static_cast<std::int64_t>(step.after.size() * sizeof(std::uint32_t)) +
            memory_of(step.image) + memory_of(step.required_label) + memory_of(step.preferred_rack);
    }
    return bytes;
}

} // namespace buckthornspar::dispatch
