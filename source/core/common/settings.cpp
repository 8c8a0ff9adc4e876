#include "core/common/settings.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <set>
#include <sstream>
#include <utility>

namespace buckthornspar::common {

struct settings_section::state {
    std::string file;
    std::string path;
    YAML::Node node;
    std::set<std::string, std::less<>> read_keys;

    [[nodiscard]] YAML::Node find(std::string_view key) {
        read_keys.emplace(key);
        if (!node.IsMap()) {
            return YAML::Node(YAML::NodeType::Undefined);
        }
        return node[std::string(key)];
    }
};

namespace {

std::string describe(const YAML::Node& node) {
    if (node.IsScalar()) {
        return node.Scalar();
    }
    return node.IsSequence() ? "a sequence" : node.IsMap() ? "a mapping" : "nothing";
}

std::string join(const std::string& path, std::string_view key) {
    return path.empty() ? std::string(key) : path + "." + std::string(key);
}

std::string range_text(number_range range) {
    std::ostringstream text;
    text << "allowed: " << range.min << " to " << range.max;
    if (!range.unit.empty()) {
        text << " " << range.unit;
    }
    return text.str();
}

bool parse_integer(const std::string& text, std::int64_t& value) {
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc{} && result.ptr == end;
}

} // namespace

settings_section::settings_section(std::unique_ptr<state> s) : m_state(std::move(s)) {}
settings_section::settings_section(settings_section&&) noexcept = default;
settings_section& settings_section::operator=(settings_section&&) noexcept = default;
settings_section::~settings_section() = default;

settings_section settings_section::load_file(const std::string& path) {
    try {
        auto s = std::make_unique<state>();
        s->file = path;
        s->node = YAML::LoadFile(path);
        if (!s->node.IsMap()) {
            throw settings_error(path + ": the file is not a YAML mapping");
        }
        return settings_section(std::move(s));
    } catch (const YAML::Exception& e) {
        throw settings_error(path + ": " + e.what());
    }
}

settings_section settings_section::parse(const std::string& text, const std::string& name) {
    try {
        auto s = std::make_unique<state>();
        s->file = name;
        s->node = YAML::Load(text);
        if (!s->node.IsMap()) {
            throw settings_error(name + ": the text is not a YAML mapping");
        }
        return settings_section(std::move(s));
    } catch (const YAML::Exception& e) {
        throw settings_error(name + ": " + e.what());
    }
}

void settings_section::fail(std::string_view key, std::string_view problem) const {
    std::ostringstream message;
    message << m_state->file;
    const YAML::Node node =
        m_state->node.IsMap() ? m_state->node[std::string(key)] : YAML::Node(m_state->node);
    if (node.IsDefined() && node.Mark().line >= 0) {
        message << ":" << node.Mark().line + 1;
    }
    message << ": " << join(m_state->path, key);
    if (node.IsDefined()) {
        message << ": value '" << describe(node) << "'";
    }
    message << ": " << problem;
    throw settings_error(message.str());
}

bool settings_section::has(std::string_view key) const {
    return m_state->node.IsMap() && m_state->node[std::string(key)].IsDefined();
}

std::string settings_section::text(std::string_view key) {
    const YAML::Node node = m_state->find(key);
    if (!node.IsDefined()) {
        fail(key, "missing; a string is required");
    }
    if (!node.IsScalar()) {
        fail(key, "a string is required");
    }
    return node.Scalar();
}

std::string settings_section::text(std::string_view key, std::string_view fallback) {
    const YAML::Node node = m_state->find(key);
    return node.IsDefined() ? text(key) : std::string(fallback);
}

std::int64_t settings_section::number(std::string_view key, number_range range) {
    const YAML::Node node = m_state->find(key);
    std::int64_t value = 0;
    if (!node.IsDefined()) {
        fail(key, "missing; a whole number is required, " + range_text(range));
    }
    if (!node.IsScalar() || !parse_integer(node.Scalar(), value)) {
        fail(key, "a whole number is required, " + range_text(range));
    }
    if (value < range.min || value > range.max) {
        fail(key, "out of range, " + range_text(range));
    }
    return value;
}

std::int64_t settings_section::number(std::string_view key, number_range range,
                                      std::int64_t fallback) {
    const YAML::Node node = m_state->find(key);
    return node.IsDefined() ? number(key, range) : fallback;
}

double settings_section::real(std::string_view key, double min, double max, double fallback) {
    const YAML::Node node = m_state->find(key);
    if (!node.IsDefined()) {
        return fallback;
    }
    double value = 0.0;
    if (!YAML::convert<double>::decode(node, value) || !(value >= min && value <= max)) {
        std::ostringstream problem;
        problem << "a number is required, allowed: " << min << " to " << max;
        fail(key, problem.str());
    }
    return value;
}

bool settings_section::flag(std::string_view key, bool fallback) {
    const YAML::Node node = m_state->find(key);
    if (!node.IsDefined()) {
        return fallback;
    }
    bool value = false;
    if (!YAML::convert<bool>::decode(node, value)) {
        fail(key, "true or false is required");
    }
    return value;
}

std::vector<std::string> settings_section::list(std::string_view key) {
    const YAML::Node node = m_state->find(key);
    std::vector<std::string> values;
    if (!node.IsDefined()) {
        return values;
    }
    if (!node.IsSequence()) {
        fail(key, "a sequence of strings is required");
    }
    for (std::size_t index = 0; index < node.size(); ++index) {
        const YAML::Node item = node[index];
        if (!item.IsScalar()) {
            fail(key, "a sequence of strings is required");
        }
        values.push_back(item.Scalar());
    }
    return values;
}

settings_section settings_section::section(std::string_view key) {
    const YAML::Node node = m_state->find(key);
    if (node.IsDefined() && !node.IsMap()) {
        fail(key, "a mapping is required");
    }
    auto s = std::make_unique<state>();
    s->file = m_state->file;
    s->path = join(m_state->path, key);
    s->node = node.IsDefined() ? node : YAML::Node(YAML::NodeType::Map);
    return settings_section(std::move(s));
}

std::vector<settings_section> settings_section::sections(std::string_view key) {
    const YAML::Node node = m_state->find(key);
    std::vector<settings_section> result;
    if (!node.IsDefined()) {
        return result;
    }
    if (!node.IsSequence()) {
        fail(key, "a sequence of mappings is required");
    }
    for (std::size_t index = 0; index < node.size(); ++index) {
        const YAML::Node item = node[index];
        if (!item.IsMap()) {
            fail(key, "a sequence of mappings is required");
        }
        auto s = std::make_unique<state>();
        s->file = m_state->file;
        s->path = join(m_state->path, key) + "[" + std::to_string(index) + "]";
        s->node = item;
        result.push_back(settings_section(std::move(s)));
    }
    return result;
}

void settings_section::finish() const {
    if (!m_state->node.IsMap()) {
        return;
    }
    for (const auto& item : m_state->node) {
        const auto key = item.first.as<std::string>();
        if (!m_state->read_keys.contains(key)) {
            fail(key, "unknown key");
        }
    }
}

} // namespace buckthornspar::common
