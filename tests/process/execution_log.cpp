#include "process/execution_log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace buckthornspar::process_test {

namespace json = boost::json;

namespace {

// History of one target; an empty object if the target does not respond, for example because it was
// killed.
json::object history_of(cluster& c, const member& target) {
    const json::value value = c.http().get(target.http, "/v1/history").json();
    return value.is_object() ? value.get_object() : json::object{};
}

void add_task_events(const json::object& history, std::vector<execution>& found) {
    std::map<std::string, std::size_t> open;
    for (const auto& item : history.at("events").as_array()) {
        const auto& event = item.as_object();
        const std::string attempt(event.at("attempt").as_string());
        const auto time = event.at("time_ms").to_number<std::int64_t>();
        if (event.at("event").as_string() == "start") {
            open[attempt] = found.size();
            found.push_back({std::string(event.at("task").as_string()),
                             std::string(history.at("worker").as_string()), time, std::nullopt,
                             ""});
            continue;
        }
        execution& e = found.at(open.at(attempt));
        e.end_ms = time;
        e.outcome = std::string(event.at("outcome").as_string());
    }
}

bool overlap(const execution& a, const execution& b) {
    const bool a_first = !a.end_ms || *a.end_ms > b.start_ms;
    const bool b_first = !b.end_ms || *b.end_ms > a.start_ms;
    return a_first && b_first;
}

std::map<std::string, std::vector<execution>> by_id(const std::vector<execution>& executions) {
    std::map<std::string, std::vector<execution>> groups;
    for (const auto& e : executions) {
        groups[e.id].push_back(e);
    }
    return groups;
}

bool has_overlap(const std::vector<execution>& group) {
    for (std::size_t i = 0; i < group.size(); ++i) {
        for (std::size_t k = i + 1; k < group.size(); ++k) {
            if (overlap(group[i], group[k])) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

std::vector<execution> task_executions(cluster& c) {
    std::vector<execution> found;
    for (const member* const worker : c.of_role("worker")) {
        const auto history = history_of(c, *worker);
        if (!history.empty()) {
            add_task_events(history, found);
        }
    }
    return found;
}

std::vector<execution> request_executions(cluster& c) {
    std::vector<execution> found;
    for (const member* const runner : c.of_role("runner")) {
        const auto history = history_of(c, *runner);
        if (history.empty()) {
            continue;
        }
        for (const auto& item : history.at("executions").as_array()) {
            const auto& object = item.as_object();
            execution e;
            e.id = std::string(object.at("id").as_string());
            e.target = runner->id;
            e.start_ms = object.at("start_ms").to_number<std::int64_t>();
            if (const auto* const end = object.if_contains("end_ms")) {
                e.end_ms = end->to_number<std::int64_t>();
            }
            found.push_back(std::move(e));
        }
    }
    return found;
}

std::vector<std::string> overlapping_ids(const std::vector<execution>& executions) {
    std::vector<std::string> ids;
    for (const auto& [id, group] : by_id(executions)) {
        if (has_overlap(group)) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<std::string> repeated_ids(const std::vector<execution>& executions) {
    std::vector<std::string> ids;
    for (const auto& [id, group] : by_id(executions)) {
        if (group.size() > 1) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::size_t running_count(const std::vector<execution>& executions) {
    return static_cast<std::size_t>(std::count_if(executions.begin(), executions.end(),
                                                  [](const auto& e) { return !e.end_ms; }));
}

std::vector<std::string> overcommitted_workers(cluster& c) {
    std::vector<std::string> ids;
    for (const member* const worker : c.of_role("worker")) {
        const auto history = history_of(c, *worker);
        if (!history.empty() && history.at("overcommitted").as_bool()) {
            ids.push_back(worker->id);
        }
    }
    return ids;
}

std::string describe(const std::vector<execution>& executions) {
    std::string text;
    for (const auto& e : executions) {
        text += e.id + " on " + e.target + " from " + std::to_string(e.start_ms) + " to " +
                (e.end_ms ? std::to_string(*e.end_ms) : "now") + " " + e.outcome + "\n";
    }
    return text;
}

} // namespace buckthornspar::process_test
