#include "core/membership/instance_format.h"

#include "core/common/error.h"
#include "core/common/name_table.h"

#include <boost/json.hpp>

#include <set>
#include <string>
#include <utility>

namespace buckthornspar::membership {

namespace json = boost::json;

namespace {

constexpr common::name_table<instance_role, 5> role_names{
    "instance role", {"worker", "runner", "entry", "scheduler", "config"}};
constexpr common::name_table<instance_state, 2> state_names{"instance state", {"live", "leaving"}};

std::string read_text(const json::object& object, std::string_view name) {
    const json::value* const value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        throw common::format_error("instance without the text '" + std::string(name) + "'");
    }
    return std::string(value->as_string());
}

std::uint32_t read_slots(const json::object& object) {
    const json::value* const value = object.if_contains("slots");
    boost::system::error_code error;
    const auto slots = value == nullptr ? 0U : value->to_number<std::uint32_t>(error);
    if (value == nullptr || error) {
        throw common::format_error("runner without the number 'slots'");
    }
    return slots;
}

instance read_instance(const json::value& value) {
    const json::object* const object = value.if_object();
    if (object == nullptr) {
        throw common::format_error("instance that is not an object");
    }
    instance i;
    i.id = read_text(*object, "id");
    i.role = to_role(read_text(*object, "role"));
    i.address = net::parse_endpoint(read_text(*object, "address"));
    i.region = read_text(*object, "region");
    i.place = read_text(*object, "place");
    i.rack = read_text(*object, "rack");
    i.state = state_names.value(read_text(*object, "state"));
    if (i.role == instance_role::runner) {
        i.service = read_text(*object, "service");
        i.slots = read_slots(*object);
    }
    if (i.id.empty()) {
        throw common::format_error("instance with an empty id");
    }
    return i;
}

} // namespace

std::string_view to_string(instance_role role) {
    return role_names.name(role);
}

instance_role to_role(std::string_view name) {
    return role_names.value(name);
}

parsed_list read_instances(std::string_view text) {
    boost::system::error_code error;
    const json::value document = json::parse(text, error);
    const json::object* const object = error ? nullptr : document.if_object();
    const json::value* const items = object == nullptr ? nullptr : object->if_contains("instances");
    const json::value* const index = object == nullptr ? nullptr : object->if_contains("index");
    if (items == nullptr || !items->is_array() || index == nullptr) {
        throw common::format_error("instance list without index and instances");
    }
    parsed_list list;
    list.snapshot.index = index->to_number<std::uint64_t>(error);
    if (error) {
        throw common::format_error("instance list whose index is not a number");
    }
    std::set<std::string> ids;
    for (const auto& item : items->as_array()) {
        try {
            instance i = read_instance(item);
            if (!ids.insert(i.id).second) {
                throw common::format_error("instance that is listed twice");
            }
            list.snapshot.instances.push_back(std::move(i));
        } catch (const common::error&) {
            ++list.skipped;
        }
    }
    return list;
}

} // namespace buckthornspar::membership
