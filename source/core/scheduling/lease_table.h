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
    /// Bound on the difference between the rates of two clocks, in thousandths.
    std::int64_t drift_permille = 10;
};

/// The length on this clock after which the same length has certainly passed on any other one.
[[nodiscard]] common::duration with_drift(common::duration length, const lease_settings& settings);

/// A reading of a worker's clock and when it was received here.
struct worker_stamp {
    std::uint64_t incarnation = 0;
    std::int64_t stamp_ms = 0;
    common::time_point received_at;
};

/// Newest stamp of each worker, and the latest time at which a lease granted there can end.
class lease_table {
public:
    explicit lease_table(lease_settings settings) : m_settings(settings) {}

    /// Keeps the stamp when it is the newest of this incarnation, or of another incarnation.
    void record_stamp(const std::string& worker, const worker_stamp& stamp);
    [[nodiscard]] const worker_stamp* newest(const std::string& worker) const;

    /// A start or renewal that quotes the newest stamp is about to be sent.
    void record_grant(const std::string& worker);

    /// Empty when nothing was granted. On this clock, leases on the worker have ended by then. The
    /// stamp was read before it was received, so that counting from the receipt errs late.
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
