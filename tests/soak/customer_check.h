#pragma once

#include "soak/twice_check.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace buckthornspar::soak {

/// A customer of a soak, as the configuration has it.
struct soak_customer {
    std::string name;
    std::string key;
    /// Number of its tasks that may run.
    std::size_t cap = 0;
};

/// The customers of a soak with their jobs. Checks that no call with a key that nobody has is
/// answered with success, and that no start brings what a customer has running above its cap with
/// the excess of a tenth and one task that the rules allow. After a change the higher cap counts
/// for as long as an owner may not know the new configuration.
class customer_check {
public:
    /// Customers with a cap of this many tasks and more.
    void create(std::size_t customers, std::size_t cap);
    [[nodiscard]] const std::vector<soak_customer>& all() const { return m_customers; }
    /// Gives the customer another key and another cap.
    void change(std::size_t customer, std::size_t cap, std::int64_t at_ms);

    void submit(const std::string& job, std::size_t customer) { m_customer_of[job] = customer; }
    /// A call without a customer's key was answered.
    void answer_to_unknown_key(unsigned status);

    void begin(const run_event& run);
    void end(const run_event& run);
    void crash(const std::string& worker);

    /// Whether the customer of the job has less than half of its cap in use.
    [[nodiscard]] bool is_far_below_cap(const std::string& job) const;
    [[nodiscard]] std::size_t refused_unknown_keys() const { return m_refused; }
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

private:
    /// Absent for a job without a customer.
    [[nodiscard]] const std::size_t* customer_of(const std::string& task) const;
    [[nodiscard]] std::size_t cap_in_force(std::size_t customer, std::int64_t at_ms) const;

    struct former_cap {
        std::size_t cap = 0;
        std::int64_t until_ms = 0;
    };

    std::vector<soak_customer> m_customers;
    std::map<std::size_t, std::vector<former_cap>> m_former_caps;
    std::map<std::string, std::size_t> m_customer_of;
    /// Runs by customer.
    std::map<std::size_t, std::vector<run_event>> m_running;
    std::vector<std::string> m_violations;
    std::size_t m_refused = 0;
};

} // namespace buckthornspar::soak
