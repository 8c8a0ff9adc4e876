#include "core/scheduling/json_fields.h"

#include "core/common/error.h"

#include <boost/json.hpp>

namespace buckthornspar::scheduling {

namespace json = boost::json;

namespace {

[[noreturn]] void fail(std::string_view key, std::string_view expected) {
    throw common::format_error("'" + std::string(key) + "' is not " + std::string(expected));
}

} // namespace

json::value parse_json(std::string_view body) {
    boost::system::error_code failure;
    auto value = json::parse(body, failure);
    if (failure) {
        throw common::format_error("body is not JSON: " + failure.message());
    }
    return value;
}

const json::object& as_object(const json::value& value, std::string_view what) {
    const auto* const object = value.if_object();
    if (object == nullptr) {
        fail(what, "an object");
    }
    return *object;
}

std::int64_t read_int(const json::object& object, std::string_view key) {
    const auto* const value = object.if_contains(key);
    if (value == nullptr) {
        fail(key, "present");
    }
    boost::system::error_code failure;
    const auto number = value->to_number<std::int64_t>(failure);
    if (failure) {
        fail(key, "a whole number");
    }
    return number;
}

std::int64_t read_int(const json::object& object, std::string_view key, std::int64_t fallback) {
    return object.contains(key) ? read_int(object, key) : fallback;
}

std::string read_text(const json::object& object, std::string_view key) {
    const auto* const value = object.if_contains(key);
    if (value == nullptr) {
        fail(key, "present");
    }
    const auto* const text = value->if_string();
    if (text == nullptr) {
        fail(key, "a string");
    }
    return {text->data(), text->size()};
}

std::string read_text(const json::object& object, std::string_view key, std::string_view fallback) {
    return object.contains(key) ? read_text(object, key) : std::string(fallback);
}

bool read_bool(const json::object& object, std::string_view key, bool fallback) {
    const auto* const value = object.if_contains(key);
    if (value == nullptr) {
        return fallback;
    }
    const bool* const flag = value->if_bool();
    if (flag == nullptr) {
        fail(key, "true or false");
    }
    return *flag;
}

const json::array& read_array(const json::object& object, std::string_view key) {
    static const json::array empty;
    const auto* const value = object.if_contains(key);
    if (value == nullptr) {
        return empty;
    }
    const auto* const array = value->if_array();
    if (array == nullptr) {
        fail(key, "an array");
    }
    return *array;
}

placement::resources read_resources(const json::object& object, std::string_view key) {
    const auto* const value = object.if_contains(key);
    if (value == nullptr) {
        return {};
    }
    const auto& fields = as_object(*value, key);
    return {read_int(fields, "cpu_milli", 0), read_int(fields, "memory_mb", 0),
            read_int(fields, "accelerators", 0)};
}

json::value resources_json(const placement::resources& amount) {
    return json::object{{"cpu_milli", amount.cpu_milli},
                        {"memory_mb", amount.memory_mb},
                        {"accelerators", amount.accelerators}};
}

} // namespace buckthornspar::scheduling
