#include "core/customers/share_order.h"

#include <algorithm>
#include <chrono>

namespace buckthornspar::customers {

namespace {

// A customer may submit the jobs of this time at once, or a few jobs if these are more. Weights lie
// above the usual demand, so that this covers its swing and the calls that clients repeat together
// after an outage of some seconds; a customer with one job a second may send several at once.
constexpr double burst_s = 2.0;
constexpr double min_burst_jobs = 8.0;
// A customer with weight 0 is served behind the others in excess, in proportion to this weight.
constexpr double min_weight = 1e-3;

common::duration seconds(double value) {
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(value));
}

// Generic cell rate algorithm: takes a part of the rate if that does not exceed the burst.
// unused_at is when the rate will be unused again.
bool take(common::time_point& unused_at, common::time_point at, common::duration part,
          common::duration burst) {
    const auto next = std::max(unused_at, at) + part;
    if (next > at + burst) {
        return false;
    }
    unused_at = next;
    return true;
}

} // namespace

void share_order::set_customers(const std::vector<customer_settings>& customers) {
    m_active = !customers.empty();
    for (auto& [name, state] : m_customers) {
        state.configured = false;
    }
    m_total_weight = 0.0;
    for (const auto& customer : customers) {
        m_total_weight += customer.weight;
        auto& state = m_customers[customer.name];
        state.weight = customer.weight;
        state.configured = true;
    }
}

bool share_order::take_from_rate(customer_state& customer, common::time_point at) {
    if (customer.weight <= 0.0) {
        return false;
    }
    const auto burst = seconds(std::max(burst_s, min_burst_jobs / customer.weight));
    return take(customer.unused_at, at, seconds(1.0 / customer.weight), burst);
}

bool share_order::take_from_share(customer_state& customer, const shared_job& job) const {
    if (!job.urgent || customer.weight <= 0.0) {
        return false;
    }
    const auto share = customer.weight / m_total_weight;
    return take(customer.share_unused_at, job.arrived_at, seconds(job.fleet_seconds / share),
                seconds(burst_s));
}

share_class share_order::add(const shared_job& job) {
    const auto found = m_customers.find(job.customer);
    if (!m_active || found == m_customers.end() || !found->second.configured) {
        return share_class::entitled;
    }
    if (!m_excess.contains(job.id) && !take_from_rate(found->second, job.arrived_at)) {
        add_excess(found->second, job);
    }
    return class_of(job.id);
}

// Start-time fair queueing: the tags are fixed at the arrival, and the virtual time is the start
// tag of the job that began last. A customer that was idle begins at the virtual time and has saved
// up nothing.
void share_order::add_excess(customer_state& customer, const shared_job& job) {
    if (m_waiting_count == 0) {
        // With room for everybody, what a customer used does not count against it later.
        m_virtual_time = std::max(m_virtual_time, m_latest_finish);
    }
    const auto start = std::max(m_virtual_time, customer.last_finish);
    customer.last_finish = start + job.fleet_seconds / std::max(min_weight, customer.weight);
    m_latest_finish = std::max(m_latest_finish, customer.last_finish);
    m_excess[job.id] = {
        &customer, job.arrived_at, job.fleet_seconds, start, take_from_share(customer, job), false};
    customer.waiting.emplace(job.arrived_at, job.id);
    customer.waiting_fleet_seconds += job.fleet_seconds;
    ++m_waiting_count;
}

void share_order::remove_waiting(excess_job& job, const std::string& id) {
    auto& customer = *job.customer;
    if (customer.waiting.erase({job.arrived_at, id}) > 0) {
        customer.waiting_fleet_seconds =
            customer.waiting.empty() ? 0.0 : customer.waiting_fleet_seconds - job.fleet_seconds;
        --m_waiting_count;
    }
    if (customer.aged == id) {
        customer.aged.clear();
    }
}

void share_order::on_begun(const std::string& job) {
    if (const auto found = m_excess.find(job); found != m_excess.end()) {
        if (!found->second.aged) {
            m_virtual_time = std::max(m_virtual_time, found->second.start);
        }
        remove_waiting(found->second, job);
    }
}

void share_order::erase(const std::string& job) {
    if (const auto found = m_excess.find(job); found != m_excess.end()) {
        remove_waiting(found->second, job);
        m_excess.erase(found);
    }
}

std::optional<double> share_order::excess_place(const std::string& job) const {
    const auto found = m_excess.find(job);
    if (!m_active || found == m_excess.end() || found->second.aged) {
        return std::nullopt;
    }
    return found->second.start;
}

share_class share_order::class_of(const std::string& job) const {
    const auto found = m_excess.find(job);
    if (!m_active || found == m_excess.end() || found->second.aged) {
        return share_class::entitled;
    }
    return found->second.urgent ? share_class::urgent : share_class::excess;
}

std::vector<std::string> share_order::take_aged(common::time_point now) {
    std::vector<std::string> result;
    if (m_waiting_count == 0) {
        return result;
    }
    for (auto& [name, customer] : m_customers) {
        if (!customer.aged.empty() || customer.waiting.empty() ||
            now < customer.waiting.begin()->first + max_excess_wait) {
            continue;
        }
        customer.aged = customer.waiting.begin()->second;
        m_excess.at(customer.aged).aged = true;
        result.push_back(customer.aged);
    }
    return result;
}

std::map<std::string, excess_backlog> share_order::backlogs() const {
    std::map<std::string, excess_backlog> result;
    for (const auto& [name, customer] : m_customers) {
        if (!customer.waiting.empty()) {
            result[name] = {customer.waiting.size(), customer.waiting_fleet_seconds};
        }
    }
    return result;
}

} // namespace buckthornspar::customers
