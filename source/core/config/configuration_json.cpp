#include "core/config/configuration_json.h"

#include "core/config/configuration_error.h"

#include <boost/json.hpp>

namespace buckthornspar::config {

namespace json = boost::json;

json::value parse_json(std::string_view text) {
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error) {
        throw configuration_error(configuration_error_kind::not_json, "", error.message());
    }
    return value;
}

std::string join_path(const std::string& path, std::string_view name) {
    std::string joined = path;
    if (!joined.empty()) {
        joined += '/';
    }
    joined += name;
    return joined;
}

const json::object& require_object(const json::value& value, const std::string& path) {
    const json::object* const object = value.if_object();
    if (object == nullptr) {
        throw configuration_error(configuration_error_kind::wrong_type, path, "is not an object");
    }
    return *object;
}

const json::value& require_member(const json::object& object, const std::string& path,
                                  std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr) {
        throw configuration_error(configuration_error_kind::missing_field, join_path(path, name),
                                  "is missing");
    }
    return *member;
}

std::string require_text(const json::object& object, const std::string& path,
                         std::string_view name) {
    const json::value& member = require_member(object, path, name);
    if (!member.is_string()) {
        throw configuration_error(configuration_error_kind::wrong_type, join_path(path, name),
                                  "is not a string");
    }
    return std::string(member.as_string());
}

std::int64_t require_number(const json::object& object, const std::string& path,
                            std::string_view name, std::int64_t min, std::int64_t max) {
    const json::value& member = require_member(object, path, name);
    if (!member.is_int64() && !member.is_uint64()) {
        throw configuration_error(configuration_error_kind::wrong_type, join_path(path, name),
                                  "is not an integer");
    }
    boost::system::error_code error;
    const auto number = member.to_number<std::int64_t>(error);
    if (error || number < min || number > max) {
        throw configuration_error(configuration_error_kind::out_of_range, join_path(path, name),
                                  "is outside " + std::to_string(min) + " to " +
                                      std::to_string(max));
    }
    return number;
}

} // namespace buckthornspar::config
