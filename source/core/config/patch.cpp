#include "core/config/patch.h"

#include "core/common/name_table.h"
#include "core/config/configuration_error.h"
#include "core/config/configuration_json.h"
#include "core/config/json_path.h"
#include "core/config/patch_json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace buckthornspar::config {

namespace json = boost::json;

namespace {

constexpr common::name_table<change_kind, 2> change_names{"change", {"set", "remove"}};
constexpr std::size_t max_id_length = 200;

/// A path consists of at least a section and an entry, so that a change cannot accidentally replace
/// a whole section.
void check_path(const std::string& path) {
    const auto names = split_path(path);
    bool valid = names.size() >= 2;
    for (const auto& name : names) {
        valid = valid && !name.empty();
    }
    if (!valid) {
        throw configuration_error(configuration_error_kind::invalid_name, path,
                                  "paths must have the form section/name[/field]");
    }
}

change read_change(const json::value& value, const std::string& path) {
    const json::object& object = require_object(value, path);
    change c;
    const std::string kind = require_text(object, path, "op");
    try {
        c.kind = change_names.value(kind);
    } catch (const common::unknown_name_error&) {
        throw configuration_error(configuration_error_kind::unknown_value, join_path(path, "op"),
                                  "'" + kind + "' is neither set nor remove");
    }
    c.path = require_text(object, path, "path");
    check_path(c.path);
    if (c.kind == change_kind::set) {
        c.value = json::serialize(require_member(object, path, "value"));
    }
    return c;
}

void check_overlaps(const std::vector<change>& changes) {
    for (std::size_t i = 0; i < changes.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (paths_overlap(changes[i].path, changes[j].path)) {
                throw configuration_error(configuration_error_kind::overlapping_changes,
                                          changes[i].path, "is changed twice");
            }
        }
    }
}

std::string read_id(const json::object& object, std::string_view name) {
    std::string id = require_text(object, "", name);
    if (id.empty() || id.size() > max_id_length) {
        throw configuration_error(configuration_error_kind::out_of_range, std::string(name),
                                  "must have 1 to 200 bytes");
    }
    return id;
}

bool read_flag(const json::object& object, std::string_view name) {
    const json::value* const member = object.if_contains(name);
    if (member == nullptr) {
        return false;
    }
    if (!member->is_bool()) {
        throw configuration_error(configuration_error_kind::wrong_type, std::string(name),
                                  "must be true or false");
    }
    return member->as_bool();
}

void check_known_fields(const json::object& object) {
    constexpr std::array<std::string_view, 6> known{"id",      "author", "base_version",
                                                    "changes", "undo",   "dry_run"};
    for (const auto& member : object) {
        if (std::find(known.begin(), known.end(), std::string_view(member.key())) == known.end()) {
            throw configuration_error(configuration_error_kind::unknown_field,
                                      std::string(member.key()), "is not a known field");
        }
    }
}

/// The shortest prefix of the path, below its section, that does not exist in the document.
std::string first_absent(const json::value& document, const std::string& path) {
    const auto names = split_path(path);
    std::string prefix = names.front();
    for (std::size_t i = 1; i < names.size(); ++i) {
        prefix = join_path(prefix, names[i]);
        if (find_path(document, prefix) == nullptr) {
            break;
        }
    }
    return prefix;
}

void add_differences(const std::string& path, const json::value* before, const json::value* after,
                     std::vector<field_difference>& found) {
    if (before != nullptr && after != nullptr && *before == *after) {
        return;
    }
    const json::object* const old_object = before == nullptr ? nullptr : before->if_object();
    const json::object* const new_object = after == nullptr ? nullptr : after->if_object();
    const bool descend =
        (before == nullptr || old_object != nullptr) && (after == nullptr || new_object != nullptr);
    if (!descend) {
        found.push_back({path, before == nullptr ? "" : json::serialize(*before),
                         after == nullptr ? "" : json::serialize(*after)});
        return;
    }
    if (old_object != nullptr) {
        for (const auto& member : *old_object) {
            const json::value* const other =
                new_object == nullptr ? nullptr : new_object->if_contains(member.key());
            add_differences(join_path(path, member.key()), &member.value(), other, found);
        }
    }
    if (new_object != nullptr) {
        for (const auto& member : *new_object) {
            if (old_object == nullptr || !old_object->contains(member.key())) {
                add_differences(join_path(path, member.key()), nullptr, &member.value(), found);
            }
        }
    }
}

} // namespace

std::vector<change> read_changes(const json::value& value, const std::string& path) {
    if (!value.is_array()) {
        throw configuration_error(configuration_error_kind::wrong_type, path, "is not an array");
    }
    std::vector<change> changes;
    for (const auto& item : value.as_array()) {
        changes.push_back(read_change(item, join_path(path, std::to_string(changes.size()))));
    }
    return changes;
}

json::array to_array(const std::vector<change>& changes) {
    json::array array;
    for (const auto& c : changes) {
        json::object object{{"op", change_names.name(c.kind)}, {"path", c.path}};
        if (c.kind == change_kind::set) {
            object["value"] = json::parse(c.value);
        }
        array.push_back(std::move(object));
    }
    return array;
}

patch read_patch(std::string_view text) {
    const json::value document = parse_json(text);
    const json::object& object = require_object(document, "");
    check_known_fields(object);
    constexpr std::int64_t max_version = std::numeric_limits<std::int64_t>::max();
    patch p;
    p.id = read_id(object, "id");
    p.author = read_id(object, "author");
    p.version =
        static_cast<std::uint64_t>(require_number(object, "", "base_version", 0, max_version));
    p.dry_run = read_flag(object, "dry_run");
    if (object.contains("undo")) {
        p.undo_of = static_cast<std::uint64_t>(require_number(object, "", "undo", 1, max_version));
    }
    if (object.contains("changes")) {
        p.changes = read_changes(object.at("changes"), "changes");
    }
    if (p.changes.empty() == (p.undo_of == 0)) {
        throw configuration_error(configuration_error_kind::missing_field, "changes",
                                  "exactly one of changes and undo must be given");
    }
    check_overlaps(p.changes);
    return p;
}

std::string to_json(const patch& p) {
    json::object object{{"id", p.id}, {"author", p.author}, {"base_version", p.version}};
    if (p.undo_of != 0) {
        object["undo"] = p.undo_of;
    } else {
        object["changes"] = to_array(p.changes);
    }
    if (p.dry_run) {
        object["dry_run"] = true;
    }
    return json::serialize(object);
}

configuration apply_changes(const configuration& base, const std::vector<change>& changes,
                            const configuration_rules& rules) {
    json::value document = to_value(base);
    for (const auto& c : changes) {
        if (c.kind == change_kind::remove) {
            if (!remove_path(document, c.path)) {
                throw configuration_error(configuration_error_kind::nothing_to_remove, c.path,
                                          "does not exist");
            }
        } else if (!set_path(document, c.path, parse_json(c.value))) {
            throw configuration_error(configuration_error_kind::unknown_field, c.path,
                                      "the parent field is not an object");
        }
    }
    return read_value(document, rules);
}

std::vector<change> reverse_changes(const configuration& base, const std::vector<change>& changes) {
    const json::value document = to_value(base);
    std::vector<change> reverse;
    for (const auto& c : changes) {
        const json::value* const before = find_path(document, c.path);
        if (before != nullptr) {
            reverse.push_back({change_kind::set, c.path, json::serialize(*before)});
            continue;
        }
        // Several changes can have created one object field by field; the object is removed once,
        // as a whole.
        change removal{change_kind::remove, first_absent(document, c.path), ""};
        if (std::find(reverse.begin(), reverse.end(), removal) == reverse.end()) {
            reverse.push_back(std::move(removal));
        }
    }
    return reverse;
}

bool paths_overlap(std::string_view a, std::string_view b) {
    const std::string_view shorter = a.size() <= b.size() ? a : b;
    const std::string_view longer = a.size() <= b.size() ? b : a;
    return longer.starts_with(shorter) &&
           (longer.size() == shorter.size() || longer[shorter.size()] == '/');
}

std::vector<field_difference> diff(const configuration& before, const configuration& after) {
    const json::value old_document = to_value(before);
    const json::value new_document = to_value(after);
    std::vector<field_difference> found;
    add_differences("", &old_document, &new_document, found);
    return found;
}

} // namespace buckthornspar::config
