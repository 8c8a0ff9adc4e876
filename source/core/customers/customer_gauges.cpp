#include "core/customers/customer_gauges.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace buckthornspar::customers {

namespace {

constexpr const char* running = "customer_running_cpu_milli";
constexpr const char* cap = "customer_cap_cpu_milli";
constexpr const char* label_name = "customer";

// 0 for a customer without a limit, as in the configuration.
std::int64_t shown_cap(const cap_ledger& ledger, customer_index customer) {
    const auto& limit = ledger.cap(customer);
    return limit && limit->cpu_milli != unlimited ? limit->cpu_milli : 0;
}

} // namespace

void customer_gauges::update(const cap_ledger& ledger) {
    std::vector<customer_index> order(ledger.size());
    std::iota(order.begin(), order.end(), customer_index{0});
    const auto shown = std::min(max_shown, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(shown),
                      order.end(), [&ledger](customer_index a, customer_index b) {
                          return std::pair(-ledger.used(a).cpu_milli, a) <
                                 std::pair(-ledger.used(b).cpu_milli, b);
                      });
    std::set<std::string> labels;
    std::int64_t rest = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const auto used = ledger.used(order[i]).cpu_milli;
        if (i >= shown) {
            rest += used;
            continue;
        }
        const auto& name = ledger.name(order[i]);
        labels.insert(name);
        m_counters.get(running, label_name, name).set(used);
        m_counters.get(cap, label_name, name).set(shown_cap(ledger, order[i]));
    }
    for (const auto& label : std::exchange(m_shown, labels)) {
        if (!labels.contains(label)) {
            remove(label);
        }
    }
    if (order.size() > shown) {
        m_counters.get(running, label_name, others).set(rest);
        m_shown.insert(others);
    }
}

void customer_gauges::clear() {
    for (const auto& label : std::exchange(m_shown, {})) {
        remove(label);
    }
}

void customer_gauges::remove(const std::string& label) {
    m_counters.remove(running, label_name, label);
    m_counters.remove(cap, label_name, label);
}

} // namespace buckthornspar::customers
