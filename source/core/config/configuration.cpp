#include "core/config/configuration.h"

#include "core/common/name_table.h"
#include "core/config/configuration_error.h"
#include "core/config/configuration_json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace buckthornspar::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t max_cpu_milli = 1'000'000'000'000;
constexpr std::int64_t max_memory_mb = 1'000'000'000'000;
constexpr std::int64_t max_accelerators = 1'000'000'000;
constexpr std::int64_t max_attempts = 1000;
constexpr std::size_t max_name_length = 128;
constexpr std::size_t max_reason_length = 500;

constexpr std::array<limit_definition, limit_count> limit_definitions{{
    {"max_tasks_per_job", 1, 100'000, 10'000},
    {"max_pending_jobs_per_team", 1, 1'000'000, 10'000},
    {"max_queued_requests_per_caller", 1, 1'000'000, 1'000},
    {"max_request_deadline_ms", 1, 86'400'000, 600'000},
    {"cross_region_bytes_per_s", 0, 1'000'000'000'000, 10'000'000},
    {"retry_budget_percent", 0, 100, 10},
}};

bool contains(const std::vector<std::string>& names, std::string_view name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool allows(const std::vector<std::string>& names, std::string_view name) {
    return names.empty() || contains(names, name);
}

/// Names are parts of paths and must not contain a slash. Other characters are restricted to those
/// that need no quoting in logs and metrics.
void check_name(const std::string& path, std::string_view name) {
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
               c == '-' || c == '_' || c == '.' || c == ':';
    };
    const bool valid = !name.empty() && name.size() <= max_name_length &&
                       std::all_of(name.begin(), name.end(), allowed);
    if (!valid) {
        throw configuration_error(
            configuration_error_kind::invalid_name, path,
            "names must have 1 to 128 characters out of letters, digits and - _ . :");
    }
}

void check_fields(const json::object& object, const std::string& path,
                  std::initializer_list<std::string_view> known) {
    for (const auto& member : object) {
        if (std::find(known.begin(), known.end(), std::string_view(member.key())) == known.end()) {
            throw configuration_error(configuration_error_kind::unknown_field,
                                      join_path(path, member.key()), "is not a known field");
        }
    }
}

/// Calls read(path, name, value) for each member of an optional section.
template <typename Reader>
void read_section(const json::object& document, std::string_view section, Reader read) {
    const json::value* const found = document.if_contains(section);
    if (found == nullptr) {
        return;
    }
    const std::string section_path(section);
    for (const auto& member : require_object(*found, section_path)) {
        const std::string path = join_path(section_path, member.key());
        check_name(path, member.key());
        read(path, std::string(member.key()), member.value());
    }
}

placement::resources read_quota(const std::string& path, const json::value& value) {
    const json::object& object = require_object(value, path);
    check_fields(object, path, {"cpu_milli", "memory_mb", "accelerators"});
    placement::resources quota;
    quota.cpu_milli = require_number(object, path, "cpu_milli", 0, max_cpu_milli);
    quota.memory_mb = require_number(object, path, "memory_mb", 0, max_memory_mb);
    quota.accelerators = require_number(object, path, "accelerators", 0, max_accelerators);
    return quota;
}

workload_policy_settings read_policy(const std::string& path, const json::value& value,
                                     const configuration_rules& rules) {
    const json::object& object = require_object(value, path);
    check_fields(object, path, {"scorer", "spread", "max_attempts"});
    workload_policy_settings policy;
    policy.scorer = require_text(object, path, "scorer");
    if (!allows(rules.scorers, policy.scorer)) {
        throw configuration_error(configuration_error_kind::unknown_value,
                                  join_path(path, "scorer"),
                                  "'" + policy.scorer + "' is not a scorer");
    }
    const std::string spread = require_text(object, path, "spread");
    try {
        policy.spread = placement::spread_rule_names.value(spread);
    } catch (const common::unknown_name_error&) {
        throw configuration_error(configuration_error_kind::unknown_value,
                                  join_path(path, "spread"),
                                  "'" + spread + "' is not one of none, rack, place");
    }
    policy.max_attempts = require_number(object, path, "max_attempts", 1, max_attempts);
    return policy;
}

/// All-at-once jobs are always packed. A spread rule is rejected because it would be silently
/// ignored.
void check_spread(const std::string& path, const std::string& kind, spread_rule spread) {
    if (kind == "all_at_once" && spread != spread_rule::none) {
        throw configuration_error(configuration_error_kind::unknown_value,
                                  join_path(path, "spread"),
                                  "all-at-once jobs are always packed; the value must be none");
    }
}

std::string read_exclusion(const std::string& path, const json::value& value) {
    const json::object& object = require_object(value, path);
    check_fields(object, path, {"reason"});
    std::string reason = require_text(object, path, "reason");
    if (reason.size() > max_reason_length) {
        throw configuration_error(configuration_error_kind::out_of_range, join_path(path, "reason"),
                                  "is longer than 500 bytes");
    }
    return reason;
}

std::vector<std::string> read_regions(const std::string& path, const json::value& value,
                                      const configuration_rules& rules) {
    if (!value.is_array()) {
        throw configuration_error(configuration_error_kind::wrong_type, path, "is not an array");
    }
    std::vector<std::string> regions;
    for (const auto& item : value.as_array()) {
        if (!item.is_string()) {
            throw configuration_error(configuration_error_kind::wrong_type, path,
                                      "contains an item that is not a string");
        }
        std::string region(item.as_string());
        check_name(path, region);
        if (!allows(rules.regions, region) || contains(regions, region)) {
            throw configuration_error(configuration_error_kind::unknown_value, path,
                                      "'" + region + "' is not a known region or is listed twice");
        }
        regions.push_back(std::move(region));
    }
    if (regions.empty()) {
        throw configuration_error(configuration_error_kind::out_of_range, path,
                                  "must contain at least one region");
    }
    return regions;
}

std::size_t find_limit(const std::string& path, std::string_view name) {
    for (std::size_t i = 0; i < limit_count; ++i) {
        if (limit_definitions.at(i).name == name) {
            return i;
        }
    }
    throw configuration_error(configuration_error_kind::unknown_field, path, "is not a limit");
}

void read_limits(const json::object& document, configuration& c) {
    read_section(document, "limits",
                 [&](const std::string& path, const std::string& name, const json::value&) {
                     const std::size_t i = find_limit(path, name);
                     const limit_definition& definition = limit_definitions.at(i);
                     c.limits.at(i) = require_number(document.at("limits").as_object(), "limits",
                                                     name, definition.min, definition.max);
                 });
}

json::object to_object(const workload_policy_settings& policy) {
    return {{"scorer", policy.scorer},
            {"spread", placement::spread_rule_names.name(policy.spread)},
            {"max_attempts", policy.max_attempts}};
}

json::object to_object(const placement::resources& quota) {
    return {{"cpu_milli", quota.cpu_milli},
            {"memory_mb", quota.memory_mb},
            {"accelerators", quota.accelerators}};
}

} // namespace

const limit_definition& definition_of(limit l) {
    return limit_definitions.at(static_cast<std::size_t>(l));
}

configuration::configuration() {
    for (const auto& kind : configuration_rules{}.workload_kinds) {
        workload_policies[kind] = {};
    }
    workload_policies["service"].spread = spread_rule::place;
    for (std::size_t i = 0; i < limit_count; ++i) {
        limits.at(i) = limit_definitions.at(i).initial;
    }
}

json::value to_value(const configuration& c) {
    json::object quotas;
    for (const auto& [team, quota] : c.quotas) {
        quotas[team] = to_object(quota);
    }
    json::object policies;
    for (const auto& [kind, policy] : c.workload_policies) {
        policies[kind] = to_object(policy);
    }
    json::object exclusions;
    for (const auto& [worker, reason] : c.worker_exclusions) {
        exclusions[worker] = json::object{{"reason", reason}};
    }
    json::object preferences;
    for (const auto& [team, regions] : c.region_preferences) {
        preferences[team] = json::array(regions.begin(), regions.end());
    }
    json::object limits;
    for (std::size_t i = 0; i < limit_count; ++i) {
        limits[limit_definitions.at(i).name] = c.limits.at(i);
    }
    return json::object{{"quotas", std::move(quotas)},
                        {"workload_policies", std::move(policies)},
                        {"worker_exclusions", std::move(exclusions)},
                        {"region_preferences", std::move(preferences)},
                        {"limits", std::move(limits)}};
}

configuration read_value(const json::value& document, const configuration_rules& rules) {
    const json::object& object = require_object(document, "");
    check_fields(
        object, "",
        {"quotas", "workload_policies", "worker_exclusions", "region_preferences", "limits"});
    configuration c;
    read_section(object, "quotas", [&](const auto& path, const auto& team, const auto& value) {
        c.quotas[team] = read_quota(path, value);
    });
    read_section(object, "workload_policies",
                 [&](const auto& path, const auto& kind, const auto& value) {
                     if (!allows(rules.workload_kinds, kind)) {
                         throw configuration_error(configuration_error_kind::unknown_field, path,
                                                   "is not a workload kind");
                     }
                     c.workload_policies[kind] = read_policy(path, value, rules);
                     check_spread(path, kind, c.workload_policies[kind].spread);
                 });
    read_section(object, "worker_exclusions",
                 [&](const auto& path, const auto& worker, const auto& value) {
                     c.worker_exclusions[worker] = read_exclusion(path, value);
                 });
    read_section(object, "region_preferences",
                 [&](const auto& path, const auto& team, const auto& value) {
                     c.region_preferences[team] = read_regions(path, value, rules);
                 });
    read_limits(object, c);
    return c;
}

std::string to_json(const configuration& c) {
    return json::serialize(to_value(c));
}

configuration read_configuration(std::string_view text, const configuration_rules& rules) {
    return read_value(parse_json(text), rules);
}

} // namespace buckthornspar::config
