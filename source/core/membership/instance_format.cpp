#include "core/membership/instance_format.h"

#include "core/common/error.h"
#include "core/common/name_table.h"

#include <boost/json.hpp>

#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

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

// The text of a list, divided so that entries that the JSON parser refuses, such as deeply nested
// ones, leave the rest readable.
struct divided_list {
    /// The document with an empty array in place of the entries.
    std::string document;
    std::vector<std::string_view> entries;
};

constexpr std::string_view white_space = " \t\r\n";

// Follows the nesting and the strings of a JSON text, without recursion.
class text_scanner {
public:
    void pass(char c) {
        if (m_in_string) {
            m_in_string = m_escaped || c != '"';
            m_escaped = !m_escaped && c == '\\';
            return;
        }
        m_in_string = c == '"';
        if (c == '[' || c == '{') {
            ++m_depth;
        } else if (c == ']' || c == '}') {
            --m_depth;
        }
    }
    [[nodiscard]] bool in_string() const { return m_in_string; }
    [[nodiscard]] int depth() const { return m_depth; }

private:
    bool m_in_string = false;
    bool m_escaped = false;
    int m_depth = 0;
};

// Position behind the bracket that opens the array of entries; npos if there is none.
std::size_t find_entries(std::string_view text) {
    constexpr std::string_view key = "\"instances\"";
    text_scanner scanner;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool key_position = scanner.depth() == 1 && !scanner.in_string();
        if (key_position && text.substr(i).starts_with(key)) {
            const auto colon = text.find_first_not_of(white_space, i + key.size());
            const auto value = colon == std::string_view::npos || text[colon] != ':'
                                   ? std::string_view::npos
                                   : text.find_first_not_of(white_space, colon + 1);
            if (value != std::string_view::npos && text[value] == '[') {
                return value + 1;
            }
        }
        scanner.pass(text[i]);
    }
    return std::string_view::npos;
}

divided_list divide(std::string_view text) {
    divided_list result;
    const auto begin = find_entries(text);
    if (begin == std::string_view::npos) {
        result.document = std::string(text);
        return result;
    }
    text_scanner scanner;
    auto first = begin;
    for (auto i = begin; i < text.size(); ++i) {
        const char c = text[i];
        const bool outside = scanner.depth() == 0 && !scanner.in_string();
        const bool end = outside && c == ']';
        if (end || (outside && c == ',')) {
            const auto entry = text.substr(first, i - first);
            const bool blank = entry.find_first_not_of(white_space) == std::string_view::npos;
            if (!blank || !end || !result.entries.empty()) {
                result.entries.push_back(entry);
            }
            first = i + 1;
        }
        if (end) {
            result.document = std::string(text.substr(0, begin)) + std::string(text.substr(i));
            return result;
        }
        scanner.pass(c);
    }
    result.document = std::string(text);
    return result;
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
        const auto list = divide(text);
        const json::value document = json::parse(list.document);
        static_cast<void>(document.at("instances").as_array());
        instance_snapshot snapshot;
        snapshot.index = document.at("index").to_number<std::uint64_t>();
        std::set<std::string> ids;
        std::string last_failure;
        for (const auto& entry : list.entries) {
            std::optional<instance> i;
            try {
                i = read_instance(json::parse(entry).as_object());
            } catch (const std::exception& e) {
                last_failure = e.what();
                ++snapshot.unreadable;
                continue;
            }
            if (!i) {
                ++skipped_count;
                continue;
            }
            if (!ids.insert(i->id).second) {
                throw common::format_error(i->id + " is listed twice");
            }
            snapshot.instances.push_back(std::move(*i));
        }
        if (snapshot.unreadable > 0 && snapshot.unreadable == list.entries.size()) {
            throw common::format_error(last_failure);
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
