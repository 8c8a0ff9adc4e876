#include "scenario/script.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace buckthornspar::scenario {

namespace {

std::int64_t parse_number(std::string_view text) {
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc{} || result.ptr != end) {
        throw script_error("'" + std::string(text) + "' is not a whole number");
    }
    return value;
}

arguments read_arguments(const YAML::Node& node) {
    arguments args;
    for (auto item = node.begin(); item != node.end(); ++item) {
        const auto key = item->first.as<std::string>();
        if (!item->second.IsScalar()) {
            throw script_error("value of '" + key + "' is not a scalar");
        }
        args.set(key, item->second.Scalar());
    }
    return args;
}

step read_step(const YAML::Node& node) {
    arguments args = read_arguments(node);
    step s;
    s.line = node.Mark().line + 1;
    s.at = args.time("at");
    s.kind = args.has("expect") ? step_kind::expectation : step_kind::action;
    s.verb = args.text(s.kind == step_kind::expectation ? "expect" : "do");
    for (const auto& [key, value] : args.all()) {
        if (key != "at" && key != "do" && key != "expect") {
            s.args.set(key, value);
        }
    }
    return s;
}

std::string duration_text(common::duration d) {
    return std::to_string(d.count()) + "us";
}

script read_script(const YAML::Node& root) {
    script s;
    s.name = root["name"].as<std::string>("unnamed");
    s.seed = root["seed"].as<std::uint64_t>(1);
    if (root["setup"]) {
        s.setup = read_arguments(root["setup"]);
    }
    const YAML::Node steps = root["steps"];
    for (std::size_t i = 0; i < steps.size(); ++i) {
        s.steps.push_back(read_step(steps[i]));
        if (i > 0 && s.steps[i].at < s.steps[i - 1].at) {
            throw script_error(s.name + ": line " + std::to_string(s.steps[i].line) +
                               " is earlier than the preceding step");
        }
    }
    s.end = parse_duration(root["end"].as<std::string>("0ms"));
    return s;
}

} // namespace

common::duration parse_duration(std::string_view text) {
    std::size_t digits = 0;
    while (digits < text.size() && text[digits] >= '0' && text[digits] <= '9') {
        ++digits;
    }
    const std::int64_t amount = parse_number(text.substr(0, digits));
    const std::string_view unit = text.substr(digits);
    if (unit == "us") {
        return common::duration(amount);
    }
    if (unit == "ms") {
        return std::chrono::milliseconds(amount);
    }
    if (unit == "s") {
        return std::chrono::seconds(amount);
    }
    throw script_error("'" + std::string(text) + "' has no unit; expected us, ms or s");
}

std::string arguments::text(std::string_view key) const {
    const auto position = m_values.find(key);
    if (position == m_values.end()) {
        throw script_error("argument '" + std::string(key) + "' is missing");
    }
    return position->second;
}

std::string arguments::text(std::string_view key, std::string_view fallback) const {
    return has(key) ? text(key) : std::string(fallback);
}

std::int64_t arguments::number(std::string_view key) const {
    return parse_number(text(key));
}

std::int64_t arguments::number(std::string_view key, std::int64_t fallback) const {
    return has(key) ? number(key) : fallback;
}

common::duration arguments::time(std::string_view key) const {
    return parse_duration(text(key));
}

common::duration arguments::time(std::string_view key, common::duration fallback) const {
    return has(key) ? time(key) : fallback;
}

bool arguments::flag(std::string_view key, bool fallback) const {
    if (!has(key)) {
        return fallback;
    }
    const std::string value = text(key);
    if (value != "true" && value != "false") {
        throw script_error("argument '" + std::string(key) + "' is neither true nor false");
    }
    return value == "true";
}

std::vector<std::string> arguments::list(std::string_view key) const {
    std::vector<std::string> values;
    std::istringstream stream(text(key));
    std::string item;
    while (std::getline(stream, item, ',')) {
        values.push_back(item);
    }
    return values;
}

void add_action(script& s, common::duration at, const std::string& verb,
                std::map<std::string, std::string, std::less<>> arguments_by_name) {
    step added;
    added.at = at;
    added.verb = verb;
    added.args = arguments(std::move(arguments_by_name));
    s.steps.push_back(std::move(added));
}

void sort_steps(script& s) {
    std::stable_sort(s.steps.begin(), s.steps.end(),
                     [](const step& a, const step& b) { return a.at < b.at; });
}

script load_script(const std::string& path) {
    try {
        return read_script(YAML::LoadFile(path));
    } catch (const YAML::Exception& e) {
        throw script_error(path + ": " + e.what());
    }
}

script parse_script(const std::string& yaml, const std::string& name) {
    try {
        return read_script(YAML::Load(yaml));
    } catch (const YAML::Exception& e) {
        throw script_error(name + ": " + e.what());
    }
}

std::string to_yaml(const script& s) {
    YAML::Emitter out;
    out << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << s.name;
    out << YAML::Key << "seed" << YAML::Value << s.seed;
    out << YAML::Key << "setup" << YAML::Value << YAML::Flow << YAML::BeginMap;
    for (const auto& [key, value] : s.setup.all()) {
        out << YAML::Key << key << YAML::Value << value;
    }
    out << YAML::EndMap << YAML::Key << "steps" << YAML::Value << YAML::BeginSeq;
    for (const auto& item : s.steps) {
        out << YAML::Flow << YAML::BeginMap << YAML::Key << "at" << YAML::Value
            << duration_text(item.at);
        out << YAML::Key << (item.kind == step_kind::action ? "do" : "expect") << YAML::Value
            << item.verb;
        for (const auto& [key, value] : item.args.all()) {
            out << YAML::Key << key << YAML::Value << value;
        }
        out << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::Key << "end" << YAML::Value << duration_text(s.end);
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace buckthornspar::scenario
