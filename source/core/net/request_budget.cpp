#include "core/net/request_budget.h"

#include <bit>
#include <tuple>

namespace buckthornspar::net {

request_budget::request_budget(std::size_t capacity_bytes, std::size_t max_connections)
    : m_capacity(capacity_bytes), m_max_connections(max_connections) {}

request_budget::account* request_budget::largest_evictable() const {
    // Sizes of the same power of two count as equal, so that a request that has just begun does not
    // go before one that has stood still for long and is a little smaller.
    const auto rank = [](const account& each) {
        return std::tuple(std::bit_width(each.m_bytes), ~each.m_order);
    };
    account* largest = nullptr;
    for (account* const each : m_accounts) {
        if (each->evictable() && each->m_bytes > 0 &&
            (largest == nullptr || rank(*each) > rank(*largest))) {
            largest = each;
        }
    }
    return largest;
}

void request_budget::evict(account& victim, eviction_reason reason) {
    m_used -= victim.m_bytes;
    victim.m_bytes = 0;
    victim.m_use = budget_use::idle;
    if (victim.m_server != nullptr && !victim.m_evicted) {
        --m_connections;
    }
    victim.m_evicted = true;
    victim.m_member.on_evicted(reason);
}

bool request_budget::evict_connection(const void* server) {
    account* first = nullptr;
    const auto is_before = [](const account& a, const account& b) {
        return std::tuple(a.m_use != budget_use::idle, a.m_order) <
               std::tuple(b.m_use != budget_use::idle, b.m_order);
    };
    for (account* const each : m_accounts) {
        const bool candidate = each->m_server != nullptr && !each->m_evicted &&
                               (server == nullptr || each->m_server == server) &&
                               (each->m_use == budget_use::idle || each->evictable());
        if (candidate && (first == nullptr || is_before(*each, *first))) {
            first = each;
        }
    }
    if (first == nullptr) {
        return false;
    }
    evict(*first, eviction_reason::connections);
    return true;
}

bool request_budget::make_room_for_connection(const void* server, std::size_t of_server,
                                              std::size_t max_of_server) {
    if (of_server >= max_of_server) {
        return evict_connection(server);
    }
    return m_connections < m_max_connections || evict_connection(nullptr);
}

request_budget::account::account(request_budget& budget, budget_member& member, const void* server)
    : m_budget(budget), m_member(member), m_server(server), m_order(++budget.m_last_order) {
    m_budget.m_accounts.insert(this);
    if (m_server != nullptr) {
        ++m_budget.m_connections;
    }
}

request_budget::account::~account() {
    m_budget.m_used -= m_bytes;
    if (m_server != nullptr && !m_evicted) {
        --m_budget.m_connections;
    }
    m_budget.m_accounts.erase(this);
}

bool request_budget::account::set(budget_use use, std::size_t bytes) {
    if (use != m_use) {
        m_use = use;
        m_order = ++m_budget.m_last_order;
    }
    m_budget.m_used += bytes;
    m_budget.m_used -= m_bytes;
    m_bytes = bytes;
    while (m_budget.m_used > m_budget.m_capacity && m_bytes > 0) {
        account* const victim = m_budget.largest_evictable();
        if (victim == nullptr || victim == this) {
            clear();
            return false;
        }
        m_budget.evict(*victim, eviction_reason::memory);
    }
    return true;
}

void request_budget::account::clear() {
    m_budget.m_used -= m_bytes;
    m_bytes = 0;
    if (m_use != budget_use::idle) {
        m_use = budget_use::idle;
        m_order = ++m_budget.m_last_order;
    }
}

} // namespace buckthornspar::net
