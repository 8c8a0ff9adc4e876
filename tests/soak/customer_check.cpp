#include "soak/customer_check.h"

#include <algorithm>

namespace buckthornspar::soak {

namespace {

/// An owner that does not reach the store keeps its key for at most 30 s.
constexpr std::int64_t former_cap_ms = 35'000;

std::string job_of(const std::string& task) {
    return task.substr(0, task.find('.'));
}

} // namespace

void customer_check::create(std::size_t customers, std::size_t cap) {
    for (std::size_t i = 0; i < customers; ++i) {
        const auto number = std::to_string(i + 1);
        m_customers.push_back({"customer-" + number, "key-" + number + "-0", cap + i});
    }
}

void customer_check::change(std::size_t customer, std::size_t cap, std::int64_t at_ms) {
    auto& changed = m_customers.at(customer);
    m_former_caps[customer].push_back({changed.cap, at_ms + former_cap_ms});
    changed.cap = cap;
    changed.key += "'";
}

void customer_check::answer_to_unknown_key(unsigned status) {
    if (status == 401) {
        ++m_refused;
    } else if (status >= 200 && status < 300) {
        m_violations.push_back("a call with an unknown key was answered with " +
                               std::to_string(status));
    }
}

const std::size_t* customer_check::customer_of(const std::string& task) const {
    const auto found = m_customer_of.find(job_of(task));
    return found == m_customer_of.end() ? nullptr : &found->second;
}

std::size_t customer_check::cap_in_force(std::size_t customer, std::int64_t at_ms) const {
    auto cap = m_customers.at(customer).cap;
    if (const auto former = m_former_caps.find(customer); former != m_former_caps.end()) {
        for (const auto& entry : former->second) {
            cap = entry.until_ms > at_ms ? std::max(cap, entry.cap) : cap;
        }
    }
    return cap;
}

void customer_check::begin(const run_event& run) {
    const auto* const customer = customer_of(run.task);
    if (customer == nullptr) {
        return;
    }
    auto& running = m_running[*customer];
    running.push_back(run);
    const auto cap = cap_in_force(*customer, run.at_ms);
    if (running.size() > cap + cap / 10 + 1) {
        m_violations.push_back(m_customers.at(*customer).name + " has " +
                               std::to_string(running.size()) + " tasks running, its cap is " +
                               std::to_string(cap) + ": " + run.task + " on " + run.worker +
                               " at " + std::to_string(run.at_ms) + " ms");
    }
}

void customer_check::end(const run_event& run) {
    if (const auto* const customer = customer_of(run.task)) {
        std::erase_if(m_running[*customer], [&](const run_event& active) {
            return active.worker == run.worker && active.task == run.task && active.run == run.run;
        });
    }
}

void customer_check::crash(const std::string& worker) {
    for (auto& entry : m_running) {
        std::erase_if(entry.second,
                      [&](const run_event& active) { return active.worker == worker; });
    }
}

bool customer_check::is_far_below_cap(const std::string& job) const {
    const auto found = m_customer_of.find(job);
    if (found == m_customer_of.end()) {
        return true;
    }
    const auto running = m_running.find(found->second);
    const auto count = running == m_running.end() ? 0 : running->second.size();
    return 2 * count < m_customers.at(found->second).cap;
}

} // namespace buckthornspar::soak
