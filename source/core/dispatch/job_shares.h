#pragma once

#include "core/customers/share_order.h"
#include "core/dispatch/job_entry.h"
#include "core/dispatch/step_order.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::dispatch {

/// Whether the step belongs to a job that exceeds its customer's rate.
[[nodiscard]] bool is_excess(const step_position& position);

/// What the tasks of one occurrence of a job take, in units of placement::resources times seconds.
struct resource_seconds {
    double cpu_milli = 0.0;
    double memory_mb = 0.0;
    double accelerators = 0.0;

    /// The largest share of the fleet's capacity, times the duration in seconds.
    [[nodiscard]] double dominant_share(const placement::resources& fleet) const;
};

[[nodiscard]] resource_seconds use_of(const std::vector<step_spec>& steps);

/// Places the jobs of customers that exceed their rate behind all entitled work. Without customers
/// in the configuration it changes nothing.
class job_shares {
public:
    void set_customers(const std::vector<customers::customer_settings>& customers);
    [[nodiscard]] bool is_active() const { return m_order.is_active(); }

    /// A job that has been read from the store; settle() decides for it.
    void add(const job_entry& job, bool urgent);
    /// Decides for the jobs that were added since, in the order of their acceptance. A batch that a
    /// new owner has read is decided as if the jobs had arrived at their acceptance.
    void settle(common::time_point now, const placement::resources& fleet);
    [[nodiscard]] bool has_unsettled() const { return !m_unsettled.empty(); }
    void on_begun(const std::string& job) { m_order.on_begun(job); }
    void erase(const std::string& job);

    [[nodiscard]] bool is_excess(const std::string& job) const {
        return m_order.class_of(job) == customers::share_class::excess;
    }
    /// The latest start of a step that meets its job's objective, and the objective; 0 when the
    /// order is not by deadline.
    struct step_deadline {
        common::time_point latest_start;
        common::duration objective{0};
    };
    /// The position of a step, given the one that it has by its urgency. A less urgent step that
    /// can no longer meet its objective goes behind those that can, until three quarters of the
    /// time to three times the objective have passed; it goes first then.
    [[nodiscard]] step_position place(common::time_point now, const step_position& by_urgency,
                                      const step_deadline& deadline);
    /// Jobs whose steps have a new position because of their age.
    [[nodiscard]] std::vector<std::string> take_aged(common::time_point now);
    [[nodiscard]] std::map<std::string, customers::excess_backlog> backlogs() const {
        return m_order.backlogs();
    }

private:
    struct unsettled_job {
        std::string customer;
        resource_seconds use;
        std::string accepted_by;
        std::int64_t accepted_ms = 0;
        bool begun = false;
        bool urgent = false;
    };

    customers::share_order m_order;
    /// When entitled jobs change their position.
    std::set<std::pair<common::time_point, std::string>> m_changes;
    /// By the revision of the acceptance and the id.
    std::map<std::pair<std::uint64_t, std::string>, unsettled_job> m_unsettled;
};

} // namespace buckthornspar::dispatch
