#include "core/dispatch/progress.h"

#include "core/common/error.h"

#include <boost/json.hpp>

#include <algorithm>
#include <iterator>
#include <memory>

namespace buckthornspar::dispatch {

namespace json = boost::json;

namespace {

// Workers have long forgotten an ended run when this many later runs have ended, so it is dropped.
constexpr std::size_t max_processed_runs = 64;
// More than a record may name; a damaged one must not use up the memory.
constexpr std::size_t max_tasks_in_progress = std::size_t{1} << 17U;

json::object parse_object(std::string_view text) {
    boost::system::error_code failure;
    auto value = json::parse(json::string_view(text.data(), text.size()), failure);
    if (failure || !value.is_object()) {
        throw common::format_error("a record is not a JSON object");
    }
    return std::move(value.as_object());
}

std::int64_t number_of(const json::object& object, json::string_view key) {
    const auto* const value = object.if_contains(key);
    return value == nullptr ? 0 : value->to_number<std::int64_t>();
}

std::string text_of(const json::object& object, json::string_view key) {
    const auto* const value = object.if_contains(key);
    return value == nullptr ? std::string() : json::value_to<std::string>(*value);
}

bool flag_of(const json::object& object, json::string_view key) {
    const auto* const value = object.if_contains(key);
    return value != nullptr && value->as_bool();
}

void put(json::object& object, json::string_view key, std::int64_t value) {
    if (value != 0) {
        object[key] = value;
    }
}

void put(json::object& object, json::string_view key, bool value) {
    if (value) {
        object[key] = true;
    }
}

void put(json::object& object, json::string_view key, const std::string& value) {
    if (!value.empty()) {
        object[key] = value;
    }
}

json::object step_to_json(const step_spec& step) {
    json::object object;
    put(object, "count", std::int64_t{step.count});
    put(object, "cpu_milli", step.demand.cpu_milli);
    put(object, "memory_mb", step.demand.memory_mb);
    put(object, "accelerators", step.demand.accelerators);
    put(object, "estimate_ms", step.estimate_ms);
    if (!step.after.empty()) {
        object["after"] = json::value_from(step.after);
    }
    put(object, "gang", step.gang);
    put(object, "same_rack", step.same_rack);
    put(object, "checkpointing", step.checkpointing);
    put(object, "speculative", step.speculative);
    put(object, "long_running", step.long_running);
    put(object, "filler", step.filler);
    put(object, "image", step.image);
    put(object, "required_label", step.required_label);
    put(object, "preferred_rack", step.preferred_rack);
    put(object, "max_per_worker", std::int64_t{step.max_per_worker});
    return object;
}

step_spec step_from_json(const json::object& object) {
    step_spec step;
    step.count = static_cast<std::uint32_t>(number_of(object, "count"));
    step.demand = {number_of(object, "cpu_milli"), number_of(object, "memory_mb"),
                   number_of(object, "accelerators")};
    step.estimate_ms = number_of(object, "estimate_ms");
    if (const auto* const after = object.if_contains("after")) {
        step.after = json::value_to<std::vector<std::uint32_t>>(*after);
    }
    step.gang = flag_of(object, "gang");
    step.same_rack = flag_of(object, "same_rack");
    step.checkpointing = flag_of(object, "checkpointing");
    step.speculative = flag_of(object, "speculative");
    step.long_running = flag_of(object, "long_running");
    step.filler = flag_of(object, "filler");
    step.image = text_of(object, "image");
    step.required_label = text_of(object, "required_label");
    step.preferred_rack = text_of(object, "preferred_rack");
    step.max_per_worker = static_cast<std::uint32_t>(number_of(object, "max_per_worker"));
    return step;
}

json::object queue_to_json(const queue_settings& queue) {
    json::object object;
    put(object, "service", queue.service);
    put(object, "priority", std::int64_t{queue.priority});
    put(object, "max_attempts", std::int64_t{queue.max_attempts});
    object["slack_factor"] = queue.slack_factor;
    put(object, "target_ms", queue.target_ms);
    if (queue.needs_tickets) {
        object["ticket_base_ms"] = queue.ticket_base_ms;
        object["ticket_per_worker_ms"] = queue.ticket_per_worker_ms;
        object["ticket_valid_ms"] = queue.ticket_valid_ms;
    }
    return object;
}

queue_settings queue_from_json(const std::string& name, const json::object& object) {
    queue_settings queue;
    queue.name = name;
    queue.service = text_of(object, "service");
    queue.priority = static_cast<int>(number_of(object, "priority"));
    queue.max_attempts = static_cast<std::uint32_t>(number_of(object, "max_attempts"));
    queue.slack_factor = object.at("slack_factor").to_number<double>();
    queue.target_ms = number_of(object, "target_ms");
    queue.needs_tickets = object.contains("ticket_valid_ms");
    if (queue.needs_tickets) {
        queue.ticket_base_ms = object.at("ticket_base_ms").to_number<double>();
        queue.ticket_per_worker_ms = object.at("ticket_per_worker_ms").to_number<double>();
        queue.ticket_valid_ms = number_of(object, "ticket_valid_ms");
    }
    return queue;
}

// Ranges as a flat list of their first and last numbers.
json::array ranges_to_json(const common::number_set& numbers) {
    json::array bounds;
    for (const auto& [first, last] : numbers.ranges()) {
        bounds.push_back(first);
        bounds.push_back(last);
    }
    return bounds;
}

common::number_set ranges_from_json(const json::array& bounds) {
    common::number_set numbers;
    for (std::size_t i = 0; i < bounds.size(); i += 2) {
        numbers.insert(bounds.at(i).to_number<std::uint32_t>(),
                       bounds.at(i + 1).to_number<std::uint32_t>());
    }
    return numbers;
}

// Tasks of a step in succession with the same progress share a row, which ends with their number.
json::array tasks_to_json(const std::map<task_key, task_progress>& tasks) {
    json::array rows;
    for (auto entry = tasks.begin(); entry != tasks.end();) {
        const auto& [key, task] = *entry;
        std::uint32_t count = 0;
        for (; entry != tasks.end() && entry->first.occurrence == key.occurrence &&
               entry->first.step == key.step && entry->first.index == key.index + count &&
               entry->second == task;
             ++entry) {
            ++count;
        }
        json::array row{key.occurrence,
                        key.step,
                        key.index,
                        task.succeeded ? 1 : 0,
                        json::value_from(task.processed_runs),
                        task.last_run,
                        task.failures,
                        task.checkpoint,
                        task.crashes,
                        task.possible_crashes};
        if (count > 1 || task.silent_losses > 0) {
            row.push_back(count);
        }
        if (task.silent_losses > 0) {
            row.push_back(task.silent_losses);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

task_progress task_from_json(const json::array& row) {
    task_progress task;
    task.succeeded = row.at(3).to_number<int>() != 0;
    task.processed_runs = json::value_to<std::vector<std::uint32_t>>(row.at(4));
    task.last_run = row.at(5).to_number<std::uint32_t>();
    task.failures = row.at(6).to_number<std::uint32_t>();
    task.checkpoint = json::value_to<std::string>(row.at(7));
    // Records of earlier versions have no count of crashes.
    if (row.size() > 9) {
        task.crashes = row.at(8).to_number<std::uint32_t>();
        task.possible_crashes = row.at(9).to_number<std::uint32_t>();
    }
    if (row.size() > 11) {
        task.silent_losses = row.at(11).to_number<std::uint32_t>();
    }
    return task;
}

void read_tasks(const std::string& job, const json::array& row, job_progress& progress) {
    task_key key{job, row.at(0).to_number<std::uint32_t>(), row.at(1).to_number<std::uint32_t>(),
                 row.at(2).to_number<std::uint32_t>()};
    // Records of earlier versions have one row for each task.
    const auto count = row.size() > 10 ? row.at(10).to_number<std::uint32_t>() : 1U;
    if (count == 0 || count > max_tasks_in_progress - progress.tasks.size()) {
        throw common::format_error("the record names an impossible number of tasks");
    }
    const auto task = task_from_json(row);
    if (task.succeeded) {
        progress.succeeded[{key.occurrence, key.step}].insert(key.index, key.index + count - 1);
        return;
    }
    for (std::uint32_t i = 0; i < count; ++i, ++key.index) {
        progress.tasks[key] = task;
    }
}

job_progress without_checkpoints(job_progress progress) {
    for (auto& entry : progress.tasks) {
        entry.second.checkpoint.clear();
    }
    return progress;
}

job_progress without_runs(job_progress progress) {
    for (auto entry = progress.tasks.begin(); entry != progress.tasks.end();) {
        auto& task = entry->second;
        progress.possible_runs = std::max(progress.possible_runs, task.last_run);
        task.last_run = 0;
        task.processed_runs.clear();
        entry = task.empty() ? progress.tasks.erase(entry) : std::next(entry);
    }
    return progress;
}

} // namespace

bool task_progress::is_processed(std::uint32_t run) const {
    return std::binary_search(processed_runs.begin(), processed_runs.end(), run);
}

void task_progress::mark_processed(std::uint32_t run) {
    processed_runs.insert(std::lower_bound(processed_runs.begin(), processed_runs.end(), run), run);
    last_run = std::max(last_run, run);
    // Long-running tasks are restarted without limit.
    if (processed_runs.size() > max_processed_runs) {
        processed_runs.erase(processed_runs.begin());
    }
}

std::string write_job(const job_spec& job) {
    json::object object;
    object["id"] = job.id;
    object["queue"] = job.queue;
    put(object, "customer", job.customer);
    object["payload"] = job.payload;
    put(object, "accepted_ms", job.accepted_ms);
    put(object, "accepted_by", job.accepted_by);
    if (job.accepted_queue) {
        object["queue_settings"] = queue_to_json(*job.accepted_queue);
    }
    put(object, "repeats", std::int64_t{job.schedule.repeats});
    put(object, "first_ms", job.schedule.first_ms);
    put(object, "interval_ms", job.schedule.interval_ms);
    json::array steps;
    for (const auto& step : job.steps) {
        steps.push_back(step_to_json(step));
    }
    object["steps"] = std::move(steps);
    return json::serialize(object);
}

job_spec read_job(std::string_view text) {
    return common::read_document("job record", [&] {
        const auto object = parse_object(text);
        job_spec job;
        job.id = text_of(object, "id");
        job.queue = text_of(object, "queue");
        job.customer = text_of(object, "customer");
        job.payload = text_of(object, "payload");
        job.accepted_ms = number_of(object, "accepted_ms");
        job.accepted_by = text_of(object, "accepted_by");
        if (const auto* const queue = object.if_contains("queue_settings")) {
            job.accepted_queue = std::make_shared<const queue_settings>(
                queue_from_json(job.queue, queue->as_object()));
        }
        job.schedule.repeats = static_cast<std::uint32_t>(number_of(object, "repeats"));
        job.schedule.first_ms = number_of(object, "first_ms");
        job.schedule.interval_ms = number_of(object, "interval_ms");
        for (const auto& step : object.at("steps").as_array()) {
            job.steps.push_back(step_from_json(step.as_object()));
        }
        return job;
    });
}

std::string write_progress(const job_progress& progress) {
    json::object object;
    object["state"] = job_state_names.name(progress.state);
    if (!is_final(progress.state)) {
        object["tasks"] = tasks_to_json(progress.tasks);
        json::array succeeded;
        for (const auto& [step, tasks] : progress.succeeded) {
            succeeded.push_back({step.occurrence, step.step, ranges_to_json(tasks)});
        }
        if (!succeeded.empty()) {
            object["succeeded"] = std::move(succeeded);
        }
        if (!progress.finished.empty()) {
            object["finished"] = ranges_to_json(progress.finished);
        }
        put(object, "possible_runs", std::int64_t{progress.possible_runs});
    } else {
        put(object, "accepted_by", progress.accepted_by);
        put(object, "queue", progress.origin.queue);
        put(object, "customer", progress.origin.customer);
    }
    return json::serialize(object);
}

std::string write_progress(job_progress progress, std::size_t max_bytes) {
    auto text = write_progress(progress);
    for (const auto reduce : {without_checkpoints, without_runs}) {
        if (text.size() <= max_bytes) {
            break;
        }
        progress = reduce(std::move(progress));
        text = write_progress(progress);
    }
    return text;
}

job_progress read_progress(const std::string& job, std::string_view text) {
    return common::read_document("progress record", [&] {
        const auto object = parse_object(text);
        job_progress progress;
        progress.state = job_state_names.value(text_of(object, "state"));
        progress.accepted_by = text_of(object, "accepted_by");
        progress.origin = {text_of(object, "queue"), text_of(object, "customer")};
        progress.possible_runs = static_cast<std::uint32_t>(number_of(object, "possible_runs"));
        if (const auto* const bounds = object.if_contains("finished")) {
            progress.finished = ranges_from_json(bounds->as_array());
        }
        if (const auto* const rows = object.if_contains("tasks")) {
            for (const auto& row : rows->as_array()) {
                read_tasks(job, row.as_array(), progress);
            }
        }
        if (const auto* const steps = object.if_contains("succeeded")) {
            for (const auto& value : steps->as_array()) {
                const auto& row = value.as_array();
                progress.succeeded[{row.at(0).to_number<std::uint32_t>(),
                                    row.at(1).to_number<std::uint32_t>()}] =
                    ranges_from_json(row.at(2).as_array());
            }
        }
        return progress;
    });
}

} // namespace buckthornspar::dispatch
