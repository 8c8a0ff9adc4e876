#pragma once

#include "core/customers/customer_settings.h"
#include "core/placement/quota_ledger.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace buckthornspar::customers {

/// Position of a customer's account in its cap_ledger.
using customer_index = placement::team_index;

/// Stands for work that belongs to no customer and counts against no cap.
inline constexpr customer_index no_customer = std::numeric_limits<customer_index>::max();

/// Amount of a resource that has no limit. Sums with amounts of a fleet do not overflow.
inline constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max() / 4;

/// Capacity that runs may take of which the owner does not know what they are.
struct unreported_runs {
    /// Runs that may be anybody's.
    placement::resources of_anybody;
    /// Further runs, which may be those of some customers.
    placement::resources of_some;
    std::unordered_set<customer_index> some;

    bool operator==(const unreported_runs&) const = default;
};

/// What the runs of each customer take over all workers, and the customers' caps. A customer that
/// the configuration no longer has keeps its last cap, because its accepted jobs are still
/// executed.
class cap_ledger {
public:
    /// Opens the customer's account if there is none; no_customer for an empty name.
    [[nodiscard]] customer_index open_account(const std::string& customer);
    [[nodiscard]] std::size_t size() const { return m_accounts.size(); }
    [[nodiscard]] const std::string& name(customer_index customer) const {
        return m_accounts.name(customer);
    }

    void set_caps(const std::vector<customer_settings>& customers);
    /// Whether any customer has had a cap.
    [[nodiscard]] bool any_caps() const { return m_any_caps; }
    /// Components without a limit are `unlimited`. Absent for a customer that no configuration had.
    [[nodiscard]] const std::optional<placement::resources>& cap(customer_index customer) const {
        return m_accounts.limit(customer);
    }

    /// A run of the customer takes the amount, or no longer does. No effect for no_customer.
    void charge(customer_index customer, const placement::resources& amount);
    void refund(customer_index customer, const placement::resources& amount);
    [[nodiscard]] const placement::resources& used(customer_index customer) const {
        return m_accounts.used(customer);
    }

    /// Replaces what unreported runs may take; it counts against the caps.
    void set_unreported(unreported_runs runs) { m_unreported = std::move(runs); }

    /// What the customer may start in addition. A component is negative when the cap has been
    /// lowered below what runs, and `unlimited` without a limit.
    [[nodiscard]] placement::resources room(customer_index customer) const;

private:
    placement::quota_ledger m_accounts;
    unreported_runs m_unreported;
    bool m_any_caps = false;
};

/// Whether this many tasks with the demand ever fit together under a cap as in customer_settings.
[[nodiscard]] bool fits_cap(const placement::resources& cap, const placement::resources& demand,
                            std::int64_t count);

} // namespace buckthornspar::customers
