#include "core/common/counters.h"

#include <utility>

namespace buckthornspar::common {

namespace {

// The text format has its labels in quotes.
std::string make_key(std::string_view name, std::string_view label, std::string_view value) {
    std::string key(name);
    key.append("{").append(label).append("=\"");
    for (const char c : value) {
        if (c == '\n') {
            key += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            key += '\\';
        }
        key += c;
    }
    return key.append("\"}");
}

} // namespace

metric& counters::get(std::string_view name) {
    return find_or_create(std::string(name));
}

metric& counters::get(std::string_view name, std::string_view label, std::string_view value) {
    return find_or_create(make_key(name, label, value));
}

void counters::remove(std::string_view name, std::string_view label, std::string_view value) {
    const std::lock_guard lock(m_mutex);
    m_metrics.erase(make_key(name, label, value));
}

metric& counters::find_or_create(std::string key) {
    const std::lock_guard lock(m_mutex);
    auto& slot = m_metrics[std::move(key)];
    if (!slot) {
        slot = std::make_unique<metric>();
    }
    return *slot;
}

std::string counters::render() const {
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [key, value] : m_metrics) {
        text.append("buckthornspar_").append(key).append(" ");
        text.append(std::to_string(value->value())).append("\n");
    }
    return text;
}

} // namespace buckthornspar::common
