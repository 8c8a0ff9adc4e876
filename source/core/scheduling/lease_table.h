#pragma once

#include "core/common/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace buckthornspar::scheduling {

struct lease_settings {
    common::duration lease = std::chrono::seconds(6);
    common::duration start_validity = std::chrono::seconds(2);
    /// Maximum difference between the rates of two clocks, in thousandths.
    std::int64_t drift_permille = 10;
};

/// The duration on this clock after which the given length has certainly passed on any other clock.
[[nodiscard]] common::duration with_drift(common::duration length, const lease_settings& settings);

/// A reading of a worker's clock and the local time at which it was received.
struct worker_stamp {
    std::uint64_t incarnation = 0;
    std::int64_t stamp_ms = 0;
    common::time_point received_at;
};

/// Newest clock stamp of each worker, and the latest time at which a lease granted there can end.
class lease_table {
public:
    explicit lease_table(lease_settings settings) : m_settings(settings) {}

    /// Stores the stamp if it is newer than the stored one, or of another incarnation.
    void record_stamp(const std::string& worker, const worker_stamp& stamp);
    [[nodiscard]] const worker_stamp* newest_stamp(const std::string& worker) const;

    /// Records that a start or renewal with the newest stamp is about to be sent.
    void record_grant(const std::string& worker);

    /// Local time by which all leases on the worker have ended; empty if none was granted. Counted
    /// from the receipt of the stamp, which was read earlier, so the result is never too early.
    [[nodiscard]] std::optional<common::time_point> latest_end(const std::string& worker) const;

    void forget(const std::string& worker) { m_workers.erase(worker); }
    void clear() { m_workers.clear(); }
    [[nodiscard]] const lease_settings& settings() const { return m_settings; }

private:
    struct entry {
        std::optional<worker_stamp> stamp;
        std::optional<common::time_point> latest_end;
    };

    lease_settings m_settings;
    std::map<std::string, entry> m_workers;
};

} // namespace buckthornspar::scheduling
