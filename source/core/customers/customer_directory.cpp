#include "core/customers/customer_directory.h"

#include <cmath>
#include <limits>
#include <unordered_set>
#include <utility>

namespace buckthornspar::customers {

namespace {

constexpr std::size_t shared_by_several = std::numeric_limits<std::size_t>::max();

} // namespace

customer_directory::customer_directory(std::vector<customer_settings> customers,
                                       std::size_t unreadable)
    : m_defects(unreadable) {
    std::unordered_set<std::string> names;
    m_customers.reserve(customers.size());
    for (auto& customer : customers) {
        if (customer.name.empty()) {
            m_defects.push_back({customer_defect::no_name, ""});
        } else if (!names.insert(customer.name).second) {
            m_defects.push_back({customer_defect::repeated_name, customer.name});
        } else if (!customer.cap.non_negative()) {
            m_defects.push_back({customer_defect::negative_cap, customer.name});
        } else {
            if (!std::isfinite(customer.weight) || customer.weight < 0.0) {
                m_defects.push_back({customer_defect::invalid_weight, customer.name});
                customer.weight = 0.0;
            }
            m_customers.push_back(std::move(customer));
        }
    }
    add_keys();
}

void customer_directory::add_keys() {
    for (std::size_t i = 0; i < m_customers.size(); ++i) {
        for (const auto& key : m_customers[i].keys) {
            if (key.empty()) {
                m_defects.push_back({customer_defect::empty_key, m_customers[i].name});
                continue;
            }
            const auto [position, added] = m_by_key.try_emplace(key, i);
            if (!added && position->second != i) {
                m_defects.push_back({customer_defect::shared_key, m_customers[i].name});
                position->second = shared_by_several;
            }
        }
    }
}

const customer_settings* customer_directory::find_by_key(std::string_view key) const {
    const auto position = m_by_key.find(key);
    return position == m_by_key.end() || position->second == shared_by_several
               ? nullptr
               : &m_customers[position->second];
}

} // namespace buckthornspar::customers
