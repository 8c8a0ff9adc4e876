#include "core/config/config_view.h"

#include "core/config/configuration_error.h"

#include <algorithm>

namespace buckthornspar::config {

bool config_view::apply(std::vector<version_record> records) {
    std::sort(records.begin(), records.end(), [](const version_record& a, const version_record& b) {
        return a.version < b.version;
    });
    const std::uint64_t before = version();
    for (const auto& record : records) {
        if (record.version <= version()) {
            continue;
        }
        try {
            (void)m_history.apply(record.body);
        } catch (const configuration_error&) {
            // A later snapshot pulled from a peer supersedes the record.
            continue;
        }
    }
    return version() > before;
}

std::vector<version_record> config_view::since(std::uint64_t version) const {
    std::vector<version_record> records;
    if (version >= m_history.version()) {
        return records;
    }
    // A process without a version gets a snapshot, because the default configuration may differ
    // between releases.
    if (version == 0 || m_history.find_version(version + 1) == nullptr) {
        records.push_back({m_history.version(), m_history.snapshot(0)});
        return records;
    }
    for (const auto& p : m_history.patches()) {
        if (p.version > version) {
            records.push_back({p.version, to_json(p)});
        }
    }
    return records;
}

bool is_region_watcher(const std::string& own_id, const std::vector<watcher_candidate>& others) {
    return std::none_of(others.begin(), others.end(), [&](const watcher_candidate& other) {
        return other.alive && other.id < own_id;
    });
}

} // namespace buckthornspar::config
