#include "core/customers/cap_ledger.h"

namespace buckthornspar::customers {

using placement::resources;

namespace {

std::int64_t limit_of(std::int64_t cap) {
    return cap == 0 ? unlimited : cap;
}

resources limits_of(const resources& cap) {
    return {limit_of(cap.cpu_milli), limit_of(cap.memory_mb), limit_of(cap.accelerators)};
}

std::int64_t difference(std::int64_t limit, std::int64_t used) {
    return limit == unlimited ? unlimited : limit - used;
}

resources difference(const resources& limit, const resources& used) {
    return {difference(limit.cpu_milli, used.cpu_milli),
            difference(limit.memory_mb, used.memory_mb),
            difference(limit.accelerators, used.accelerators)};
}

// Divides, because the product of an untrusted count and demand could overflow.
bool fits(std::int64_t limit, std::int64_t each, std::int64_t count) {
    return each <= 0 || limit / each >= count;
}

} // namespace

customer_index cap_ledger::open_account(const std::string& customer) {
    return customer.empty() ? no_customer : m_accounts.team(customer);
}

void cap_ledger::set_caps(const std::vector<customer_settings>& customers) {
    for (const auto& customer : customers) {
        m_accounts.set_limit(m_accounts.team(customer.name), limits_of(customer.cap));
        m_any_caps |= customer.cap != resources{};
    }
}

void cap_ledger::charge(customer_index customer, const resources& amount) {
    if (customer != no_customer) {
        m_accounts.charge(customer, amount);
    }
}

void cap_ledger::refund(customer_index customer, const resources& amount) {
    if (customer != no_customer) {
        m_accounts.refund(customer, amount);
    }
}

resources cap_ledger::room(customer_index customer) const {
    if (customer == no_customer || !m_accounts.limit(customer)) {
        return {unlimited, unlimited, unlimited};
    }
    auto used = m_accounts.used(customer) + m_unreported.of_anybody;
    if (m_unreported.some.contains(customer)) {
        used += m_unreported.of_some;
    }
    return difference(*m_accounts.limit(customer), used);
}

bool fits_cap(const resources& cap, const resources& demand, std::int64_t count) {
    const auto limits = limits_of(cap);
    return fits(limits.cpu_milli, demand.cpu_milli, count) &&
           fits(limits.memory_mb, demand.memory_mb, count) &&
           fits(limits.accelerators, demand.accelerators, count);
}

} // namespace buckthornspar::customers
