#include "core/scheduling/job_table.h"

#include "core/common/error.h"
#include "core/common/overloaded.h"
#include "core/scheduling/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>

namespace buckthornspar::scheduling {

namespace json = boost::json;

namespace {

json::object task_json(const task_record& task) {
    json::object object{{"ended", task.ended},
                        {"outcome", to_string(task.outcome)},
                        {"answer", to_string(task.execution)}};
    if (task.intent) {
        object["intent"] = parse_json(to_json(journal_entry(*task.intent)));
    }
    return object;
}

task_record read_task(const json::value& value) {
    const auto& object = as_object(value, "task");
    task_record task;
    task.ended = read_bool(object, "ended", false);
    task.outcome = attempt_outcome_of(read_text(object, "outcome"));
    task.execution = execution_status_of(read_text(object, "answer"));
    if (const auto* const intent = object.if_contains("intent")) {
        const auto entries = read_entries("[" + json::serialize(*intent) + "]");
        task.intent = std::get<attempt_intent_entry>(entries.at(0));
    }
    return task;
}

json::object job_json(const job_record& job) {
    json::array tasks;
    for (const auto& task : job.tasks) {
        tasks.push_back(task_json(task));
    }
    return {{"spec", parse_json(to_json(job.spec))},
            {"cancelled", job.cancelled},
            {"reason", to_string(job.reason)},
            {"tasks", std::move(tasks)}};
}

job_record read_job_record(const json::value& value) {
    const auto& object = as_object(value, "job");
    job_record job;
    job.spec = read_job(json::serialize(object.at("spec")));
    job.cancelled = read_bool(object, "cancelled", false);
    job.reason = job_reason_of(read_text(object, "reason"));
    for (const auto& item : read_array(object, "tasks")) {
        job.tasks.push_back(read_task(item));
        job.tasks_ended += job.tasks.back().ended ? 1 : 0;
    }
    if (job.tasks.size() != job.spec.tasks) {
        throw common::format_error(
            "job '" + job.spec.id +
            "': the number of task records differs from the number of tasks");
    }
    return job;
}

template <typename Container>
json::array names_json(const Container& names) {
    json::array array;
    for (const auto& name : names) {
        array.emplace_back(name);
    }
    return array;
}

} // namespace

void job_table::apply(std::uint64_t number, const journal_entry& entry) {
    const auto set_workers = [&](const std::vector<std::string>& workers) {
        m_workers = {workers.begin(), workers.end()};
        ++m_workers_version;
    };
    std::visit(common::overloaded{
                   [&](const owner_entry& e) {
                       m_owner = e.owner;
                       m_epoch = number;
                       set_workers(e.workers);
                   },
                   [&](const workers_entry& e) { set_workers(e.workers); },
                   [&](const job_accepted_entry& e) { apply_accepted(e); },
                   [&](const attempt_intent_entry& e) { apply_intent(e); },
                   [&](const task_ended_entry& e) { apply_task_ended(e); },
                   [&](const job_cancelled_entry& e) {
                       const auto position = m_jobs.find(e.job);
                       if (position != m_jobs.end() && !position->second.ended()) {
                           position->second.cancelled = true;
                           position->second.reason = job_reason::cancelled;
                       }
                   },
                   [&](const job_ended_entry& e) {
                       const auto position = m_jobs.find(e.job);
                       if (position != m_jobs.end() &&
                           position->second.reason == job_reason::none) {
                           position->second.reason = e.reason;
                       }
                   },
               },
               entry);
}

void job_table::apply_accepted(const job_accepted_entry& entry) {
    job_record job;
    job.spec = entry.job;
    job.tasks.resize(entry.job.tasks);
    m_jobs.emplace(entry.job.id, std::move(job));
}

void job_table::apply_intent(const attempt_intent_entry& entry) {
    const auto position = m_jobs.find(entry.job);
    if (position != m_jobs.end() && entry.index < position->second.tasks.size()) {
        position->second.tasks[entry.index].intent = entry;
    }
}

void job_table::apply_task_ended(const task_ended_entry& entry) {
    const auto position = m_jobs.find(entry.job);
    if (position == m_jobs.end() || position->second.ended()) {
        return;
    }
    job_record& job = position->second;
    for (const std::uint32_t index : entry.indices) {
        if (index >= job.tasks.size() || job.tasks[index].ended) {
            continue;
        }
        task_record& task = job.tasks[index];
        task.ended = true;
        task.outcome = entry.outcome;
        task.execution = entry.execution;
        task.intent.reset();
        ++job.tasks_ended;
    }
    if (job.ended()) {
        m_ended_order.push_back(entry.job);
        forget_oldest();
    }
}

void job_table::forget_oldest() {
    while (m_ended_order.size() > m_max_ended) {
        m_jobs.erase(m_ended_order.front());
        m_ended_order.pop_front();
    }
}

const job_record* job_table::find(std::string_view id) const {
    const auto position = m_jobs.find(id);
    return position == m_jobs.end() ? nullptr : &position->second;
}

std::string job_table::snapshot() const {
    json::array jobs;
    for (const auto& [id, job] : m_jobs) {
        jobs.push_back(job_json(job));
    }
    return json::serialize(json::object{{"owner", m_owner},
                                        {"epoch", m_epoch},
                                        {"workers", names_json(m_workers)},
                                        {"ended_order", names_json(m_ended_order)},
                                        {"jobs", std::move(jobs)}});
}

void job_table::load_snapshot(std::string_view body) {
    const auto value = parse_json(body);
    const auto& object = as_object(value, "snapshot");
    m_owner = read_text(object, "owner");
    m_epoch = static_cast<std::uint64_t>(read_int(object, "epoch"));
    m_workers.clear();
    ++m_workers_version;
    for (const auto& item : read_array(object, "workers")) {
        m_workers.emplace(item.as_string().c_str());
    }
    m_ended_order.clear();
    for (const auto& item : read_array(object, "ended_order")) {
        m_ended_order.emplace_back(item.as_string().c_str());
    }
    m_jobs.clear();
    for (const auto& item : read_array(object, "jobs")) {
        job_record job = read_job_record(item);
        const std::string id = job.spec.id;
        m_jobs.emplace(id, std::move(job));
    }
}

job_summary summarise(const job_record& job) {
    job_summary summary{"succeeded", execution_status::not_run};
    bool all_succeeded = true;
    bool any_unknown = false;
    for (const auto& task : job.tasks) {
        all_succeeded = all_succeeded && task.outcome == attempt_outcome::succeeded;
        any_unknown = any_unknown || task.execution == execution_status::unknown;
        if (task.execution == execution_status::ran) {
            summary.execution = execution_status::ran;
        }
    }
    if (any_unknown) {
        summary.execution = execution_status::unknown;
    }
    if (!job.ended()) {
        summary.state = job.cancelled ? "cancelling" : "accepted";
    } else if (job.cancelled && !all_succeeded) {
        summary.state = "cancelled";
    } else if (!all_succeeded) {
        summary.state = any_unknown ? "unknown" : "failed";
    }
    return summary;
}

} // namespace buckthornspar::scheduling
