#include "core/server/shared_config.h"

#include "core/common/logging.h"

namespace buckthornspar::server {

std::uint64_t shared_config::version() const {
    const std::lock_guard lock(m_mutex);
    return m_view.version();
}

void shared_config::apply(const std::vector<peer::config_record>& records) {
    std::vector<config::version_record> converted;
    converted.reserve(records.size());
    for (const auto& record : records) {
        converted.push_back({record.version, record.body});
    }
    // The lock is held during the callback, so that the listener sees the versions in order.
    const std::lock_guard lock(m_mutex);
    if (m_view.apply(std::move(converted))) {
        common::log_event(common::severity::info, "config_in_force",
                          {{"version", m_view.version()}});
        m_on_change(m_view.version(), m_view.in_force());
    }
}

std::vector<peer::config_record> shared_config::since(std::uint64_t version) const {
    const std::lock_guard lock(m_mutex);
    std::vector<peer::config_record> records;
    for (auto& record : m_view.since(version)) {
        records.push_back({record.version, std::move(record.body)});
    }
    return records;
}

shared_config::snapshot shared_config::in_force() const {
    const std::lock_guard lock(m_mutex);
    return {m_view.version(), m_view.in_force()};
}

} // namespace buckthornspar::server
