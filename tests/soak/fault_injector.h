#pragma once

#include "soak/fault_schedule.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace buckthornspar::common {
class rng;
}

namespace buckthornspar::soak {

class leased_worker;
class soak_cluster;
class soak_log;

/// Applies the faults of a schedule to a cluster and ends them.
class fault_injector {
public:
    fault_injector(soak_cluster& cluster, soak_log& log) : m_cluster(cluster), m_log(log) {}

    void apply(const planned_fault& fault);
    /// Ends the faults whose time is over.
    void end_due();
    void end_all();
    [[nodiscard]] std::size_t applied() const { return m_applied; }

private:
    struct active_fault {
        std::int64_t ends_at_ms = 0;
        std::string name;
        std::function<void()> end;
    };
    struct link {
        std::string one;
        std::string other;
    };

    [[nodiscard]] static bool needs_owner(fault_kind kind);
    [[nodiscard]] std::function<void()> begin(const planned_fault& fault, const std::string& owner);
    [[nodiscard]] std::function<void()> cut(const std::vector<link>& links);
    [[nodiscard]] std::vector<link> partition_links(const std::string& owner, bool listed,
                                                    common::rng& random) const;
    [[nodiscard]] std::vector<link> silence_links(common::rng& random) const;
    [[nodiscard]] std::function<void()> take_store_down(common::rng& random);
    [[nodiscard]] std::function<void()> crash_workers(common::rng& random);
    [[nodiscard]] std::function<void()> replace_workers(bool planned, common::rng& random);
    [[nodiscard]] std::function<void()> change_customer(common::rng& random);
    [[nodiscard]] std::function<void()> kill_owner(const std::string& owner);
    [[nodiscard]] std::function<void()> lose_calls(bool of_store);
    [[nodiscard]] std::vector<leased_worker*> draw_workers(double share, common::rng& random) const;
    /// Between half and three quarters of the workers.
    [[nodiscard]] std::vector<leased_worker*> draw_most_workers(common::rng& random) const;

    soak_cluster& m_cluster;
    soak_log& m_log;
    std::vector<active_fault> m_active;
    std::size_t m_applied = 0;
    int m_store_outages = 0;
};

} // namespace buckthornspar::soak
