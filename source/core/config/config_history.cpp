#include "core/config/config_history.h"

#include "core/config/configuration_error.h"
#include "core/config/configuration_json.h"
#include "core/config/patch_json.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace buckthornspar::config {

namespace json = boost::json;

namespace {

constexpr std::int64_t max_number = std::numeric_limits<std::int64_t>::max();

std::uint64_t read_version(const json::object& object, std::string_view name, std::int64_t min) {
    return static_cast<std::uint64_t>(require_number(object, "", name, min, max_number));
}

json::object to_object(const accepted_patch& p) {
    return {
        {"version", p.version},          {"id", p.id},           {"author", p.author},
        {"time_ms", p.time_ms},          {"undo_of", p.undo_of}, {"changes", to_array(p.changes)},
        {"reverse", to_array(p.reverse)}};
}

accepted_patch read_accepted_value(const json::value& value) {
    const json::object& object = require_object(value, "");
    accepted_patch p;
    p.version = read_version(object, "version", 1);
    p.id = require_text(object, "", "id");
    p.author = require_text(object, "", "author");
    p.time_ms = require_number(object, "", "time_ms", 0, max_number);
    p.undo_of = read_version(object, "undo_of", 0);
    p.changes = read_changes(require_member(object, "", "changes"), "changes");
    p.reverse = read_changes(require_member(object, "", "reverse"), "reverse");
    return p;
}

std::vector<accepted_patch> read_patches(const json::value& value) {
    if (!value.is_array()) {
        throw configuration_error(configuration_error_kind::wrong_type, "history",
                                  "is not an array");
    }
    std::vector<accepted_patch> patches;
    for (const auto& item : value.as_array()) {
        patches.push_back(read_accepted_value(item));
    }
    return patches;
}

/// Names in accepted patches are not validated again: the process that accepted them may have more
/// plug-ins than this one.
const configuration_rules unrestricted_rules{{}, {}, {}};

} // namespace

std::string to_json(const accepted_patch& p) {
    return json::serialize(to_object(p));
}

accepted_patch read_accepted(std::string_view text) {
    return read_accepted_value(parse_json(text));
}

bool config_history::apply(std::string_view record) {
    const json::value value = parse_json(record);
    const json::object& object = require_object(value, "");
    if (!object.contains("document")) {
        return apply(read_accepted_value(value));
    }
    const std::uint64_t version = read_version(object, "version", 1);
    if (version <= m_version) {
        return false;
    }
    const json::value& document = object.at("document");
    configuration in_force = read_value(document, unrestricted_rules);
    std::vector<accepted_patch> patches = read_patches(require_member(object, "", "history"));
    m_version = version;
    m_in_force = std::move(in_force);
    m_patches.clear();
    m_version_of_id.clear();
    for (auto& p : patches) {
        append(std::move(p));
    }
    return true;
}

bool config_history::apply(const accepted_patch& next) {
    if (next.version != m_version + 1) {
        return false;
    }
    m_in_force = apply_changes(m_in_force, next.changes, unrestricted_rules);
    m_version = next.version;
    append(next);
    return true;
}

void config_history::append(accepted_patch p) {
    m_version_of_id[p.id] = p.version;
    m_patches.push_back(std::move(p));
    if (m_patches.size() > m_max_patches) {
        const auto position = m_version_of_id.find(m_patches.front().id);
        if (position != m_version_of_id.end() && position->second == m_patches.front().version) {
            m_version_of_id.erase(position);
        }
        m_patches.pop_front();
    }
}

std::string config_history::snapshot(std::size_t max_patches) const {
    json::array history;
    const std::size_t count = std::min(max_patches, m_patches.size());
    for (std::size_t i = m_patches.size() - count; i < m_patches.size(); ++i) {
        history.push_back(to_object(m_patches[i]));
    }
    return json::serialize(json::object{{"version", m_version},
                                        {"document", to_value(m_in_force)},
                                        {"history", std::move(history)}});
}

const accepted_patch* config_history::find_version(std::uint64_t version) const {
    if (m_patches.empty() || version < m_patches.front().version || version > m_version) {
        return nullptr;
    }
    return &m_patches[version - m_patches.front().version];
}

const accepted_patch* config_history::find_id(const std::string& id) const {
    const auto position = m_version_of_id.find(id);
    return position == m_version_of_id.end() ? nullptr : find_version(position->second);
}

std::optional<configuration> config_history::at(std::uint64_t version) const {
    if (version > m_version || (version < m_version && find_version(version + 1) == nullptr)) {
        return std::nullopt;
    }
    configuration c = m_in_force;
    for (std::uint64_t v = m_version; v > version; --v) {
        c = apply_changes(c, find_version(v)->reverse, unrestricted_rules);
    }
    return c;
}

std::vector<std::string>
config_history::conflicting_paths(std::uint64_t version, const std::vector<change>& changes) const {
    const bool kept = version >= m_version || find_version(version + 1) != nullptr;
    std::vector<std::string> fields;
    for (const auto& c : changes) {
        bool changed = !kept;
        for (std::uint64_t v = version + 1; kept && v <= m_version && !changed; ++v) {
            const auto& others = find_version(v)->changes;
            changed = std::any_of(others.begin(), others.end(), [&](const change& other) {
                return paths_overlap(other.path, c.path);
            });
        }
        if (changed) {
            fields.push_back(c.path);
        }
    }
    return fields;
}

} // namespace buckthornspar::config
