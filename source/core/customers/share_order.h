#pragma once

#include "core/common/clock.h"
#include "core/customers/customer_settings.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace buckthornspar::customers {

/// A job with what it takes of the room that all customers share.
struct shared_job {
    std::string id;
    std::string customer;
    common::time_point arrived_at;
    /// Dominant share of the fleet's capacity times the duration in seconds, over all tasks.
    double fleet_seconds = 0.0;
    /// Work of the most urgent priority.
    bool urgent = false;
};

enum class share_class {
    entitled, ///< within the customer's rate
    urgent,   ///< in excess, urgent, and within the customer's share of the fleet
    excess,   ///< goes behind all others
};

/// Jobs of a customer that exceed its rate and have not begun.
struct excess_backlog {
    std::size_t jobs = 0;
    double fleet_seconds = 0.0;
};

/// Decides whose jobs go first when there is too little room. A job is entitled while its customer
/// submits no more than `weight` jobs a second, with a short burst; the others are in excess and
/// are ordered by weighted fair queueing, so that customers in excess receive room in proportion to
/// their weights. Urgent jobs in excess keep their priority over the less urgent work of others
/// while they take no more than the customer's share of the fleet. Jobs without a customer in the
/// configuration are entitled. Performs no I/O and reads no clock.
class share_order {
public:
    /// Known jobs keep their place when the weights change.
    void set_customers(const std::vector<customer_settings>& customers);
    /// False without customers in the configuration: all jobs are entitled then.
    [[nodiscard]] bool is_active() const { return m_active; }

    /// Decides for a job that has arrived; jobs are added in the order of their arrival.
    share_class add(const shared_job& job);
    /// The first task of the job has been started.
    void on_begun(const std::string& job);
    void erase(const std::string& job);

    /// Place among the jobs in excess, the smallest first; absent for an entitled job.
    [[nodiscard]] std::optional<double> excess_place(const std::string& job) const;
    [[nodiscard]] share_class class_of(const std::string& job) const;
    /// Jobs in excess that are entitled from now on, because they are the oldest of their customer
    /// and have waited for max_excess_wait. The next one of a customer follows when its last one
    /// has begun.
    [[nodiscard]] std::vector<std::string> take_aged(common::time_point now);
    /// By customer; customers without such jobs are left out.
    [[nodiscard]] std::map<std::string, excess_backlog> backlogs() const;

    /// Longest time after which the oldest waiting job in excess of each customer becomes entitled.
    static constexpr common::duration max_excess_wait = std::chrono::seconds(15);

private:
    struct customer_state {
        double weight = 0.0;
        /// False once the configuration no longer has the customer.
        bool configured = true;
        /// When the customer's rate is unused again: the theoretical arrival time of its next job
        /// (generic cell rate algorithm).
        common::time_point unused_at;
        /// The same for the share of the fleet that urgent jobs in excess may take.
        common::time_point share_unused_at;
        double last_finish = 0.0;
        /// Jobs in excess that have not begun, by arrival.
        std::set<std::pair<common::time_point, std::string>> waiting;
        double waiting_fleet_seconds = 0.0;
        /// The job that has become entitled by its age and has not begun; empty when there is none.
        std::string aged;
    };
    struct excess_job {
        customer_state* customer = nullptr;
        common::time_point arrived_at;
        double fleet_seconds = 0.0;
        double start = 0.0;
        bool urgent = false;
        bool aged = false;
    };

    [[nodiscard]] static bool take_from_rate(customer_state& customer, common::time_point at);
    [[nodiscard]] bool take_from_share(customer_state& customer, const shared_job& job) const;
    void add_excess(customer_state& customer, const shared_job& job);
    void remove_waiting(excess_job& job, const std::string& id);

    bool m_active = false;
    double m_total_weight = 0.0;
    std::map<std::string, customer_state> m_customers;
    std::unordered_map<std::string, excess_job> m_excess;
    std::size_t m_waiting_count = 0;
    /// Start tag of the job in excess that began last.
    double m_virtual_time = 0.0;
    double m_latest_finish = 0.0;
};

} // namespace buckthornspar::customers
