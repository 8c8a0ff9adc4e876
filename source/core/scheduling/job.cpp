#include "core/scheduling/job.h"

#include "core/common/name_table.h"
#include "core/scheduling/json_fields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace buckthornspar::scheduling {

namespace json = boost::json;

namespace {

constexpr std::size_t max_id_length = 128;
constexpr std::int64_t max_tasks = 10'000;
constexpr std::int64_t max_amount = 1'000'000'000;
constexpr std::int64_t max_time_ms = std::int64_t{366} * 24 * 3600 * 1000;

constexpr common::name_table<execution_status, 3>
    execution_status_names("answer", {"not_run", "ran", "unknown"});

constexpr common::name_table<job_reason, 7>
    reason_names("job reason", {"none", "cancelled", "failed_everywhere", "attempts_exhausted",
                                "deadline_passed", "infeasible", "gang_broken"});

void check_range(std::string_view field, std::int64_t value, std::int64_t min, std::int64_t max) {
    if (value < min || value > max) {
        throw invalid_job(std::string(field), std::string(field) + " is " + std::to_string(value) +
                                                  "; the allowed range is " + std::to_string(min) +
                                                  " to " + std::to_string(max));
    }
}

void check_name(std::string_view field, std::string_view value) {
    const bool printable = std::all_of(value.begin(), value.end(),
                                       [](char c) { return c > ' ' && c < '\x7f' && c != '@'; });
    if (value.empty() || value.size() > max_id_length || !printable) {
        throw invalid_job(std::string(field),
                          std::string(field) +
                              " must be 1 to 128 printable characters other than space and @");
    }
}

void check_demand(const placement::resources& demand) {
    check_range("demand.cpu_milli", demand.cpu_milli, 0, max_amount);
    check_range("demand.memory_mb", demand.memory_mb, 0, max_amount);
    check_range("demand.accelerators", demand.accelerators, 0, max_amount);
}

/// Reads one field. Reports a wrong type or an unknown name as invalid_job of that field.
template <typename Read>
auto field(std::string_view name, Read read) {
    try {
        return read(name);
    } catch (const common::error& e) {
        throw invalid_job(std::string(name), e.what());
    }
}

json::object parse_object(std::string_view body) {
    try {
        const auto value = parse_json(body);
        return as_object(value, "job");
    } catch (const common::format_error& e) {
        throw invalid_job("", e.what());
    }
}

} // namespace

job_spec read_job(std::string_view body) {
    const auto object = parse_object(body);
    const auto text = [&](std::string_view name) { return read_text(object, name); };
    const auto number = [&](std::string_view name) { return read_int(object, name, 0); };
    job_spec job;
    job.id = field("id", text);
    job.team = field("team", text);
    job.kind = field("kind", [&](std::string_view name) {
        return placement::workload_kind_names.value(read_text(object, name));
    });
    job.priority = field("class", [&](std::string_view name) {
        return placement::priority_class_names.value(read_text(object, name, "normal"));
    });
    job.idempotent = field("idempotent", [&](std::string_view name) {
        return read_bool(object, name, job.kind == placement::workload_kind::service);
    });
    const std::int64_t tasks =
        field("tasks", [&](std::string_view name) { return read_int(object, name, 1); });
    job.demand =
        field("demand", [&](std::string_view name) { return read_resources(object, name); });
    job.run_ms = field("run_ms", number);
    job.deadline_ms = field("deadline_ms", number);
    job.family =
        field("family", [&](std::string_view name) { return read_text(object, name, ""); });
    job.fail = field("fail", [&](std::string_view name) { return read_bool(object, name, false); });
    check_name("id", job.id);
    check_name("team", job.team);
    check_range("tasks", tasks, 1, max_tasks);
    check_range("run_ms", job.run_ms, 0, max_time_ms);
    check_range("deadline_ms", job.deadline_ms, 0, max_time_ms);
    check_demand(job.demand);
    if (job.kind == placement::workload_kind::service && !job.idempotent) {
        throw invalid_job("idempotent", "a service is restarted when it ends and therefore "
                                        "cannot be non-idempotent");
    }
    job.tasks = static_cast<std::uint32_t>(tasks);
    return job;
}

std::string to_json(const job_spec& job) {
    return json::serialize(json::object{
        {"id", job.id},
        {"team", job.team},
        {"kind", placement::workload_kind_names.name(job.kind)},
        {"class", placement::priority_class_names.name(job.priority)},
        {"idempotent", job.idempotent},
        {"tasks", job.tasks},
        {"demand", resources_json(job.demand)},
        {"run_ms", job.run_ms},
        {"deadline_ms", job.deadline_ms},
        {"family", job.family},
        {"fail", job.fail},
    });
}

std::string_view to_string(execution_status execution) {
    return execution_status_names.name(execution);
}

execution_status execution_status_of(std::string_view name) {
    return execution_status_names.value(name);
}

std::string_view to_string(job_reason reason) {
    return reason_names.name(reason);
}

job_reason job_reason_of(std::string_view name) {
    return reason_names.value(name);
}

std::string task_id(std::string_view job, std::uint32_t index) {
    return std::string(job) + "/" + std::to_string(index);
}

task_name split_task_id(std::string_view task) {
    const auto slash = task.rfind('/');
    std::uint32_t index = 0;
    if (slash != std::string_view::npos) {
        const char* const end = task.data() + task.size();
        const auto result = std::from_chars(task.data() + slash + 1, end, index);
        if (result.ec == std::errc{} && result.ptr == end) {
            return {std::string(task.substr(0, slash)), index};
        }
    }
    throw common::format_error("'" + std::string(task) + "' is not a task id");
}

} // namespace buckthornspar::scheduling
