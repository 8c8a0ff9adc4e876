#include "core/scheduling/shard_engine.h"

#include "core/common/name_table.h"

#include <boost/json.hpp>

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduling {

namespace json = boost::json;

namespace {

constexpr common::name_table<refusal, 9>
    refusal_names("refusal",
                  {"none", "store_unavailable", "queue_full", "id_conflict", "infeasible",
                   "job_too_large", "team_limit", "ownership_lost", "draining"});

/// State of a task as shown to callers: its outcome, or its phase until the end is logged.
std::string_view task_state(const task_record& record, const job_run* run, std::size_t index) {
    if (record.ended) {
        return to_string(record.outcome);
    }
    return run == nullptr ? "waiting" : to_string(run->tasks[index].phase);
}

std::string status_json(const std::string& shard, const job_record& job, const job_run* run) {
    const job_summary summary = summarise(job);
    json::object counts;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        auto& count = counts[task_state(job.tasks[index], run, index)];
        count = count.is_int64() ? count.get_int64() + 1 : 1;
    }
    std::string_view state = summary.state;
    if (!job.ended() && !job.cancelled && counts.contains("running")) {
        state = "running";
    }
    json::object object{
        {"id", job.spec.id}, {"shard", shard}, {"state", state}, {"tasks", std::move(counts)}};
    if (job.ended()) {
        object["outcome"] = to_string(summary.execution);
    }
    if (job.reason != job_reason::none) {
        object["reason"] = to_string(job.reason);
    }
    return json::serialize(object);
}

} // namespace

std::string_view to_string(refusal reason) {
    return refusal_names.name(reason);
}

// Submissions and cancellations.

void shard_engine::on_submit(common::time_point now, std::uint64_t ticket, const job_spec& job,
                             common::time_point deadline) {
    if (const auto response = check_submission(job)) {
        reply(ticket, *response);
        return;
    }
    if (join_pending(ticket, job, deadline)) {
        return;
    }
    const std::uint64_t tag = m_journal.add(job_accepted_entry{job});
    pending_call call;
    call.job = job.id;
    call.spec = job;
    call.tickets.emplace(ticket, deadline);
    m_calls.add(tag, std::move(call));
    (void)now;
}

/// Returns a reply if the job needs no log entry: it is refused or was accepted before.
std::optional<job_reply> shard_engine::check_submission(const job_spec& job) const {
    if (!m_ownership.owns()) {
        return not_owner();
    }
    if (const job_record* const known = m_journal.table().find(job.id)) {
        if (!(known->spec == job)) {
            return refuse(refusal::id_conflict,
                          "job '" + job.id + "' was already submitted with different content",
                          execution_status::not_run);
        }
        return status(job.id);
    }
    if (m_ownership.state() == ownership_state::stepping_down) {
        return refuse(refusal::draining, "the scheduler is shutting down",
                      execution_status::not_run);
    }
    if (auto problem = check_limits(job)) {
        return problem;
    }
    if (m_ownership.state() == ownership_state::active) {
        if (const auto problem = m_runner.check_feasible(job)) {
            return refuse(refusal::infeasible, problem->detail, execution_status::not_run);
        }
    }
    if (m_journal.waiting() >= m_settings.max_waiting_entries) {
        const refusal reason =
            m_journal.store_available() ? refusal::queue_full : refusal::store_unavailable;
        return refuse(reason, "too many log entries are waiting for the store",
                      execution_status::not_run);
    }
    return std::nullopt;
}

std::optional<job_reply> shard_engine::check_limits(const job_spec& job) const {
    const shard_policy& policy = m_runner.policy();
    if (job.tasks > policy.max_tasks_per_job) {
        return refuse(refusal::job_too_large,
                      std::to_string(job.tasks) + " tasks; the configuration allows " +
                          std::to_string(policy.max_tasks_per_job) + " per job",
                      execution_status::not_run);
    }
    // A repetition of a submission that is being written joins it and adds no job.
    const bool repeated = m_calls.find(job.id, false).has_value();
    const std::size_t pending = m_runner.pending_jobs(job.team) + m_calls.submissions(job.team);
    // During recovery it is not known which jobs have started.
    if (!repeated && !m_runner.recovering() && pending >= policy.max_pending_jobs_per_team) {
        return refuse(refusal::team_limit,
                      "team '" + job.team + "' has " + std::to_string(pending) +
                          " jobs that have not started; the configuration allows " +
                          std::to_string(policy.max_pending_jobs_per_team),
                      execution_status::not_run);
    }
    return std::nullopt;
}

bool shard_engine::join_pending(std::uint64_t ticket, const job_spec& job,
                                common::time_point deadline) {
    const auto tag = m_calls.find(job.id, false);
    if (!tag) {
        return false;
    }
    if (m_calls[*tag].spec == job) {
        m_calls.join(*tag, ticket, deadline);
    } else {
        reply(ticket, refuse(refusal::id_conflict,
                             "job '" + job.id + "' was already submitted with different content",
                             execution_status::not_run));
    }
    return true;
}

void shard_engine::on_cancel(common::time_point now, std::uint64_t ticket, const std::string& job,
                             common::time_point deadline) {
    if (!m_ownership.owns()) {
        reply(ticket, not_owner());
        return;
    }
    if (const auto known = m_calls.find(job, true)) {
        m_calls.join(*known, ticket, deadline);
        return;
    }
    const bool being_accepted = m_calls.find(job, false).has_value();
    const job_record* const record = m_journal.table().find(job);
    if ((record == nullptr && !being_accepted) ||
        (record != nullptr && (record->ended() || record->cancelled))) {
        reply(ticket, status(job));
        return;
    }
    // The tasks are stopped immediately; only the reply waits for the log. The cancellation entry
    // precedes the entries for the ended tasks, so that readers of the log know why they ended.
    const std::uint64_t tag = m_journal.add(job_cancelled_entry{job});
    m_runner.cancel(now, job);
    pending_call call;
    call.job = job;
    call.cancel = true;
    call.tickets.emplace(ticket, deadline);
    m_calls.add(tag, std::move(call));
}

void shard_engine::finish_call(common::time_point now, std::uint64_t tag) {
    const auto call = m_calls.take(tag);
    if (!call) {
        return;
    }
    if (call->cancel) {
        m_runner.cancel(now, call->job);
    } else {
        m_runner.accept(now, call->spec);
    }
    job_reply response = status(call->job);
    if (!call->cancel && response.status == reply_status::ok) {
        response.status = reply_status::accepted;
    }
    for (const auto& [ticket, deadline] : call->tickets) {
        reply(ticket, response);
    }
}

/// Replies to callers whose deadline passes while the store does not respond. The entry is
/// withdrawn if it was certainly not written; otherwise the reply says that it may still take
/// effect.
void shard_engine::check_call_deadlines(common::time_point now) {
    for (const auto& overdue : m_calls.take_expired(now)) {
        const pending_call& call = m_calls[overdue.tag];
        // A cancellation has already taken effect and is not withdrawn.
        const bool dropped =
            call.tickets.empty() && !call.cancel && m_journal.withdraw(overdue.tag);
        for (const std::uint64_t ticket : overdue.tickets) {
            reply(ticket, refuse(refusal::store_unavailable,
                                 "the store did not respond before the deadline",
                                 dropped ? execution_status::not_run : execution_status::unknown));
        }
        if (dropped) {
            (void)m_calls.take(overdue.tag);
        }
    }
}

/// Called when the ownership is lost. Entries that were not being written never take effect.
void shard_engine::fail_calls(const std::vector<std::uint64_t>& undetermined_tags) {
    for (const auto& [tag, call] : m_calls.take_all()) {
        const bool may_be_written = std::find(undetermined_tags.begin(), undetermined_tags.end(),
                                              tag) != undetermined_tags.end() ||
                                    call.cancel;
        for (const auto& [ticket, deadline] : call.tickets) {
            reply(ticket,
                  may_be_written
                      ? refuse(
                            refusal::ownership_lost,
                            "ownership of the shard was lost while the log entry was being written",
                            execution_status::unknown)
                      : not_owner());
        }
    }
}

void shard_engine::reply(std::uint64_t ticket, job_reply response) {
    if (response.status == reply_status::refused) {
        m_counters.get("refusals_total", "reason", to_string(response.reason)).add();
    } else if (response.status == reply_status::not_owner) {
        m_counters.get("refusals_total", "reason", "not_owner").add();
    }
    m_actions.emplace_back(reply_action{ticket, std::move(response)});
}

job_reply shard_engine::refuse(refusal reason, std::string detail, execution_status outcome) const {
    job_reply response;
    response.status = reply_status::refused;
    response.reason = reason;
    response.detail = std::move(detail);
    response.outcome = outcome;
    response.owner_hint = m_owner_hint;
    return response;
}

job_reply shard_engine::not_owner() const {
    job_reply response;
    response.status = reply_status::not_owner;
    response.detail = "another scheduler owns shard " + m_settings.shard;
    response.owner_hint = m_owner_hint;
    return response;
}

// Queries.

job_reply shard_engine::status(const std::string& job) const {
    if (!m_ownership.owns()) {
        return not_owner();
    }
    job_reply response;
    const job_record* const record = m_journal.table().find(job);
    if (record == nullptr) {
        response.status = reply_status::not_found;
        response.detail = "no job '" + job + "' in shard " + m_settings.shard;
        return response;
    }
    response.outcome = summarise(*record).execution;
    response.body = status_json(m_settings.shard, *record, m_runner.find(job));
    return response;
}

job_reply shard_engine::explain(const std::string& job) const {
    job_reply response = status(job);
    if (response.status != reply_status::ok) {
        return response;
    }
    const job_record& record = *m_journal.table().find(job);
    const job_run* const run = m_runner.find(job);
    json::array tasks;
    for (std::size_t index = 0; index < record.tasks.size(); ++index) {
        const std::string id = task_id(job, static_cast<std::uint32_t>(index));
        json::object task{{"task", id}, {"state", task_state(record.tasks[index], run, index)}};
        if (record.tasks[index].ended) {
            task["outcome"] = to_string(record.tasks[index].execution);
        } else if (run != nullptr) {
            task["worker"] = run->tasks[index].worker;
            task["failures"] = run->tasks[index].failures;
            task["waits_for"] = placement::wait_reason_names.name(m_runner.wait_reason_of(id));
        }
        tasks.push_back(std::move(task));
    }
    response.body = json::serialize(json::object{{"id", job},
                                                 {"shard", m_settings.shard},
                                                 {"ownership", to_string(m_ownership.state())},
                                                 {"recovering", m_runner.recovering()},
                                                 {"store_available", m_journal.store_available()},
                                                 {"tasks", std::move(tasks)}});
    return response;
}

} // namespace buckthornspar::scheduling
