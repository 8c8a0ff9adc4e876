#pragma once

#include "core/customers/cap_ledger.h"

#include <unordered_map>

namespace buckthornspar::customers {

/// What a plan may still start for each customer, and what it asks tickets for. Without a ledger
/// nothing is limited.
class cap_budget {
public:
    explicit cap_budget(const cap_ledger* ledger) : m_ledger(ledger) {}

    [[nodiscard]] bool is_limited(customer_index customer) const {
        return m_ledger != nullptr && customer != no_customer;
    }
    /// What the customer may start beside the starts of the plan.
    [[nodiscard]] const placement::resources& room(customer_index customer) {
        return account(customer).room;
    }
    /// The same beside the steps that hold or await tickets. These leave nothing to later steps,
    /// whose tickets would expire unused.
    [[nodiscard]] placement::resources unclaimed_room(customer_index customer) {
        const auto& a = account(customer);
        return a.room - a.claimed;
    }
    /// Whether the customer uses at least half of its cap, in any resource that it limits.
    [[nodiscard]] bool is_half_used(customer_index customer);
    /// Whether the tasks fit under the customer's cap when nothing of it runs.
    [[nodiscard]] bool fits_empty(customer_index customer, const placement::resources& demand,
                                  std::int64_t count) const;
    void take(customer_index customer, const placement::resources& amount);
    void claim(customer_index customer, const placement::resources& amount);

private:
    struct plan_account {
        placement::resources room;
        placement::resources claimed;
    };

    plan_account& account(customer_index customer);

    const cap_ledger* m_ledger;
    std::unordered_map<customer_index, plan_account> m_accounts;
};

} // namespace buckthornspar::customers
