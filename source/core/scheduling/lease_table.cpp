#include "core/scheduling/lease_table.h"

#include <algorithm>

namespace buckthornspar::scheduling {

common::duration with_drift(common::duration length, const lease_settings& settings) {
    constexpr std::int64_t permille = 1000;
    // Rounded up, because a result that is a microsecond too short is not an upper bound.
    return length +
           common::duration((length.count() * settings.drift_permille + permille - 1) / permille);
}

void lease_table::record_stamp(const std::string& worker, const worker_stamp& stamp) {
    auto& known = m_workers[worker].stamp;
    if (!known || known->incarnation != stamp.incarnation || known->stamp_ms < stamp.stamp_ms) {
        known = stamp;
    }
}

const worker_stamp* lease_table::newest_stamp(const std::string& worker) const {
    const auto position = m_workers.find(worker);
    if (position == m_workers.end() || !position->second.stamp) {
        return nullptr;
    }
    return &*position->second.stamp;
}

void lease_table::record_grant(const std::string& worker) {
    entry& known = m_workers[worker];
    if (!known.stamp) {
        return;
    }
    const auto end = known.stamp->received_at + with_drift(m_settings.lease, m_settings);
    known.latest_end = std::max(known.latest_end.value_or(end), end);
}

std::optional<common::time_point> lease_table::latest_end(const std::string& worker) const {
    const auto position = m_workers.find(worker);
    return position == m_workers.end() ? std::nullopt : position->second.latest_end;
}

} // namespace buckthornspar::scheduling
