#include "core/server/config_cache.h"

#include "core/common/logging.h"

namespace buckthornspar::server {

namespace {

// Peers are rarely further behind than a few versions; one that is gets the newest record only,
// since each record is the whole configuration.
constexpr std::size_t max_kept_records = 16;

} // namespace

std::uint64_t config_cache::version() const {
    const std::lock_guard lock(m_mutex);
    return m_records.empty() ? 0 : m_records.rbegin()->first;
}

void config_cache::apply(const std::vector<peer::config_record>& records) {
    // The lock is held over the callback, so that listeners see the versions in order.
    const std::lock_guard lock(m_mutex);
    for (const auto& record : records) {
        const std::uint64_t in_force = m_records.empty() ? 0 : m_records.rbegin()->first;
        if (record.version <= in_force) {
            continue;
        }
        m_records.emplace(record.version, record.body);
        if (m_records.size() > max_kept_records) {
            m_records.erase(m_records.begin());
        }
        common::log_event(common::severity::info, "config_in_force", {{"version", record.version}});
        m_on_change(record.version, record.body);
    }
}

std::vector<peer::config_record> config_cache::since(std::uint64_t version) const {
    const std::lock_guard lock(m_mutex);
    std::vector<peer::config_record> records;
    for (auto item = m_records.upper_bound(version); item != m_records.end(); ++item) {
        records.push_back({item->first, item->second});
    }
    return records;
}

} // namespace buckthornspar::server
