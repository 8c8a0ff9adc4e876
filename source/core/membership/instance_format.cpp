#include "core/membership/instance_format.h"

#include "core/common/error.h"
#include "core/common/name_table.h"

#include <boost/json.hpp>

#include <optional>
#include <set>
#include <utility>

namespace buckthornspar::membership {

namespace json = boost::json;

namespace {

constexpr common::name_table<instance_role, 5> role_names{
    "instance role", {"worker", "runner", "entry", "scheduler", "config"}};
constexpr common::name_table<instance_state, 2> state_names{"instance state", {"live", "leaving"}};

std::string optional_text(const json::object& object, std::string_view key) {
    const json::value* const value = object.if_contains(key);
    return value != nullptr ? std::string(value->as_string()) : std::string();
}

std::optional<instance_role> find_role(std::string_view name) {
    try {
        return role_names.value(name);
    } catch (const common::unknown_name_error&) {
        return std::nullopt;
    }
}

/// Empty if the role is unknown.
std::optional<instance> read_instance(const json::object& object) {
    instance i;
    i.id = std::string(object.at("id").as_string());
    const auto role = find_role(object.at("role").as_string());
    if (!role) {
        return std::nullopt;
    }
    i.role = *role;
    i.address = net::parse_endpoint(object.at("address").as_string());
    i.region = optional_text(object, "region");
    i.place = optional_text(object, "place");
    i.rack = optional_text(object, "rack");
    i.state = state_names.value(object.at("state").as_string());
    i.service = optional_text(object, "service");
    if (const json::value* const slots = object.if_contains("slots")) {
        i.slots = slots->to_number<std::uint32_t>();
    }
    return i;
}

} // namespace

instance_snapshot read_instances(const std::string& text, std::size_t* skipped) {
    std::size_t skipped_count = 0;
    try {
        const json::value document = json::parse(text);
        instance_snapshot snapshot;
        snapshot.index = document.at("index").to_number<std::uint64_t>();
        std::set<std::string> ids;
        for (const auto& item : document.at("instances").as_array()) {
            auto i = read_instance(item.as_object());
            if (!i) {
                ++skipped_count;
                continue;
            }
            if (!ids.insert(i->id).second) {
                throw common::format_error(i->id + " is listed twice");
            }
            snapshot.instances.push_back(std::move(*i));
        }
        if (skipped != nullptr) {
            *skipped = skipped_count;
        }
        return snapshot;
    } catch (const std::exception& e) {
        // Boost.JSON throws different standard exceptions for missing keys and wrong types.
        throw common::format_error(std::string("instance list: ") + e.what());
    }
}

instance_role instance_role_from(std::string_view name) {
    return role_names.value(name);
}

std::string_view to_string(instance_role role) {
    return role_names.name(role);
}

std::string_view to_string(instance_state state) {
    return state_names.name(state);
}

} // namespace buckthornspar::membership
