#include "core/scheduling/journal_entry.h"

#include "core/common/error.h"
#include "core/scheduling/json_fields.h"

#include <boost/json.hpp>

namespace buckthornspar::scheduling {

namespace json = boost::json;

namespace {

/// Visitor that converts an entry into a JSON object.
struct entry_writer {
    json::object operator()(const owner_entry& entry) const {
        return {
            {"t", "owner"}, {"owner", entry.owner}, {"workers", json::value_from(entry.workers)}};
    }
    json::object operator()(const workers_entry& entry) const {
        return {{"t", "workers"}, {"workers", json::value_from(entry.workers)}};
    }
    json::object operator()(const job_accepted_entry& entry) const {
        return {{"t", "job_accepted"}, {"job", parse_json(to_json(entry.job))}};
    }
    json::object operator()(const attempt_intent_entry& entry) const {
        return {{"t", "attempt_intent"},  {"job", entry.job},
                {"index", entry.index},   {"attempt", entry.attempt},
                {"worker", entry.worker}, {"incarnation", entry.incarnation}};
    }
    json::object operator()(const task_ended_entry& entry) const {
        return {{"t", "task_ended"},
                {"job", entry.job},
                {"indices", json::value_from(entry.indices)},
                {"outcome", to_string(entry.outcome)},
                {"answer", to_string(entry.execution)}};
    }
    json::object operator()(const job_cancelled_entry& entry) const {
        return {{"t", "job_cancelled"}, {"job", entry.job}};
    }
    json::object operator()(const job_ended_entry& entry) const {
        return {{"t", "job_ended"}, {"job", entry.job}, {"reason", to_string(entry.reason)}};
    }
};

std::vector<std::string> read_names(const json::object& object, std::string_view key) {
    std::vector<std::string> names;
    for (const auto& value : read_array(object, key)) {
        if (!value.is_string()) {
            throw common::format_error("'" + std::string(key) + "' is not an array of strings");
        }
        names.emplace_back(value.get_string().c_str());
    }
    return names;
}

attempt_intent_entry read_intent(const json::object& object) {
    attempt_intent_entry entry;
    entry.job = read_text(object, "job");
    entry.index = static_cast<std::uint32_t>(read_int(object, "index"));
    entry.attempt = read_text(object, "attempt");
    entry.worker = read_text(object, "worker");
    entry.incarnation = static_cast<std::uint64_t>(read_int(object, "incarnation"));
    return entry;
}

task_ended_entry read_task_ended(const json::object& object) {
    task_ended_entry entry;
    entry.job = read_text(object, "job");
    for (const auto& value : read_array(object, "indices")) {
        entry.indices.push_back(value.to_number<std::uint32_t>());
    }
    entry.outcome = attempt_outcome_of(read_text(object, "outcome"));
    entry.execution = execution_status_of(read_text(object, "answer"));
    return entry;
}

journal_entry read_entry(const json::object& object) {
    const std::string type = read_text(object, "t");
    if (type == "owner") {
        return owner_entry{read_text(object, "owner"), read_names(object, "workers")};
    }
    if (type == "workers") {
        return workers_entry{read_names(object, "workers")};
    }
    if (type == "job_accepted") {
        return job_accepted_entry{read_job(json::serialize(object.at("job")))};
    }
    if (type == "attempt_intent") {
        return read_intent(object);
    }
    if (type == "task_ended") {
        return read_task_ended(object);
    }
    if (type == "job_cancelled") {
        return job_cancelled_entry{read_text(object, "job")};
    }
    if (type == "job_ended") {
        return job_ended_entry{read_text(object, "job"),
                               job_reason_of(read_text(object, "reason"))};
    }
    throw common::unknown_name_error("journal entry", type);
}

} // namespace

std::string to_json(const journal_entry& entry) {
    return json::serialize(std::visit(entry_writer{}, entry));
}

std::string join_entries(const std::vector<std::string>& encoded) {
    std::string body = "[";
    for (const auto& entry : encoded) {
        if (body.size() > 1) {
            body += ',';
        }
        body += entry;
    }
    return body + "]";
}

std::vector<journal_entry> read_entries(std::string_view body) {
    const auto value = parse_json(body);
    const auto* const array = value.if_array();
    if (array == nullptr) {
        throw common::format_error("record is not an array of entries");
    }
    std::vector<journal_entry> entries;
    for (const auto& item : *array) {
        entries.push_back(read_entry(as_object(item, "entry")));
    }
    return entries;
}

} // namespace buckthornspar::scheduling
