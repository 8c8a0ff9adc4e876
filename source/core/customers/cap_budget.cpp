#include "core/customers/cap_budget.h"

namespace buckthornspar::customers {

cap_budget::plan_account& cap_budget::account(customer_index customer) {
    const auto [position, added] = m_accounts.try_emplace(customer);
    if (added) {
        position->second.room = m_ledger->room(customer);
    }
    return position->second;
}

bool cap_budget::is_half_used(customer_index customer) {
    const auto& cap = m_ledger->cap(customer);
    const auto& left = room(customer);
    const auto half_used = [](std::int64_t limit, std::int64_t rest) {
        return limit != unlimited && rest <= limit / 2;
    };
    return cap && (half_used(cap->cpu_milli, left.cpu_milli) ||
                   half_used(cap->memory_mb, left.memory_mb) ||
                   half_used(cap->accelerators, left.accelerators));
}

bool cap_budget::fits_empty(customer_index customer, const placement::resources& demand,
                            std::int64_t count) const {
    const auto& cap = m_ledger->cap(customer);
    return !cap || fits_cap(*cap, demand, count);
}

void cap_budget::take(customer_index customer, const placement::resources& amount) {
    if (is_limited(customer)) {
        account(customer).room -= amount;
    }
}

void cap_budget::claim(customer_index customer, const placement::resources& amount) {
    if (is_limited(customer)) {
        account(customer).claimed += amount;
    }
}

} // namespace buckthornspar::customers
