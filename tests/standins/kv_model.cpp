#include "standins/kv_model.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::standins {

const kv_model::record* kv_model::find(const std::string& key) const {
    const auto position = m_records.find(key);
    return position == m_records.end() ? nullptr : &position->second;
}

std::vector<std::pair<std::string, kv_model::record>>
kv_model::list(const std::string& prefix) const {
    std::vector<std::pair<std::string, record>> found;
    for (auto i = m_records.lower_bound(prefix); i != m_records.end(); ++i) {
        if (!i->first.starts_with(prefix)) {
            break;
        }
        found.emplace_back(*i);
    }
    return found;
}

std::uint64_t kv_model::index_of(const std::string& key, bool recurse) const {
    const auto selected = [&](const std::string& k) {
        return recurse ? k.starts_with(key) : k == key;
    };
    std::uint64_t index = 1;
    for (auto i = m_records.lower_bound(key); i != m_records.end() && selected(i->first); ++i) {
        index = std::max(index, i->second.modify_index);
    }
    for (auto i = m_deleted.lower_bound(key); i != m_deleted.end() && selected(i->first); ++i) {
        index = std::max(index, i->second);
    }
    return index;
}

bool kv_model::put(const std::string& key, std::string value,
                   std::optional<std::uint64_t> expected) {
    if (!matches(key, expected)) {
        return false;
    }
    m_records[key] = {std::move(value), ++m_index};
    m_deleted.erase(key);
    return true;
}

bool kv_model::erase(const std::string& key, std::optional<std::uint64_t> expected) {
    if (!matches(key, expected)) {
        return false;
    }
    if (m_records.erase(key) > 0) {
        m_deleted[key] = ++m_index;
    }
    return true;
}

bool kv_model::matches(const std::string& key, std::optional<std::uint64_t> expected) const {
    if (!expected) {
        return true;
    }
    const record* const present = find(key);
    return (present == nullptr ? 0 : present->modify_index) == *expected;
}

} // namespace buckthornspar::standins
