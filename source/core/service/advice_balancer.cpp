#include "core/service/advice_balancer.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornspar::service {

namespace {

// One node in this many takes no long calls.
constexpr std::size_t short_only_divisor = 3;
// Outstanding calls per node: one in service and one in transit.
constexpr std::size_t max_calls_per_node = 2;
// The overhead of a node is the latency to the node and from there to the advice service. The bound
// keeps a lost call from degrading the node's average for long.
constexpr common::duration max_overhead = std::chrono::milliseconds(500);
constexpr int overhead_weight = 4;
// Time for which a node gets no calls after one was not answered; doubles with each further
// failure.
constexpr common::duration first_suspension = std::chrono::milliseconds(500);
constexpr unsigned max_suspension_doublings = 4;

bool is_long(const dispatch::advice_call& call) {
    return call.expected > dispatch::long_advice_call;
}

} // namespace

bool advice_balancer::node_state::has_long_call() const {
    return std::any_of(calls.begin(), calls.end(), [](const auto& call) {
        return call.second.expected > dispatch::long_advice_call;
    });
}

bool advice_balancer::node_state::may_call(common::time_point now) const {
    return !awaits_sign && now >= suspended_until && calls.size() < max_calls_per_node;
}

void advice_balancer::add_node(const std::string& node) {
    m_nodes[node].awaits_sign = false;
}

void advice_balancer::remove_node(const std::string& node) {
    m_nodes.erase(node);
}

void advice_balancer::submit(dispatch::advice_call call) {
    m_waiting.push_back(std::move(call));
}

void advice_balancer::complete(const std::string& node, std::uint64_t call,
                               common::time_point now) {
    const auto position = m_nodes.find(node);
    if (position == m_nodes.end()) {
        return;
    }
    auto& state = position->second;
    const auto sent = state.calls.find(call);
    if (sent != state.calls.end()) {
        const auto extra =
            std::clamp<common::duration>(now - sent->second.due, common::duration(0), max_overhead);
        state.failures = 0;
        state.overhead = (state.overhead * (overhead_weight - 1) + extra) / overhead_weight;
        state.calls.erase(sent);
    }
    if (state.calls.empty()) {
        state.busy_until = {};
    }
}

// A node that the service does not answer must not attract calls because it is idle. It may go on
// to reach the owner, so that it is not removed.
bool advice_balancer::fail(const std::string& node, dispatch::advice_call call,
                           common::time_point now) {
    if (const auto position = m_nodes.find(node); position != m_nodes.end()) {
        auto& state = position->second;
        state.calls.erase(call.id);
        state.awaits_sign = true;
        state.suspended_until =
            now + first_suspension * (1U << std::min(state.failures++, max_suspension_doublings));
    }
    if (best_node(call, now).empty()) {
        return false;
    }
    submit(std::move(call));
    return true;
}

// Nodes that the service does not answer take no calls, so that they must not count.
std::size_t advice_balancer::short_only_count() const {
    const auto answered = static_cast<std::size_t>(
        std::count_if(m_nodes.begin(), m_nodes.end(),
                      [](const auto& node) { return node.second.failures == 0; }));
    return answered < 2 ? 0 : std::max<std::size_t>(1, answered / short_only_divisor);
}

dispatch::advice_slots advice_balancer::free_slots(common::time_point now) const {
    dispatch::advice_slots slots{0, 0};
    const auto short_only = short_only_count();
    std::size_t index = 0;
    for (const auto& [node, state] : m_nodes) {
        const bool reserved = state.failures == 0 && index++ < short_only;
        if (state.may_call(now)) {
            slots.calls += max_calls_per_node - state.calls.size();
            slots.long_calls += reserved || state.has_long_call() ? 0 : 1;
        }
    }
    const auto queued_long =
        static_cast<std::size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), is_long));
    slots.calls -= std::min(slots.calls, m_waiting.size());
    slots.long_calls -= std::min(slots.long_calls, queued_long);
    return slots;
}

std::string advice_balancer::best_node(const dispatch::advice_call& call,
                                       common::time_point now) const {
    const bool takes_long = is_long(call);
    const auto short_only = short_only_count();
    std::string best;
    std::tuple<bool, common::time_point> best_score;
    std::size_t index = 0;
    for (const auto& [node, state] : m_nodes) {
        const bool reserved = state.failures == 0 && index++ < short_only;
        if (!state.may_call(now) || (takes_long && (reserved || state.has_long_call()))) {
            continue;
        }
        const std::tuple score{!takes_long && state.has_long_call(),
                               std::max(now, state.busy_until) + state.overhead};
        if (best.empty() || score < best_score) {
            best = node;
            best_score = score;
        }
    }
    return best;
}

std::vector<advice_balancer::assignment> advice_balancer::take_ready(common::time_point now) {
    std::stable_sort(m_waiting.begin(), m_waiting.end(), [](const auto& a, const auto& b) {
        return std::tuple(a.excess, a.priority, a.id) < std::tuple(b.excess, b.priority, b.id);
    });
    std::vector<assignment> result;
    std::vector<dispatch::advice_call> remaining;
    for (auto& call : m_waiting) {
        const auto node = best_node(call, now);
        if (node.empty()) {
            remaining.push_back(std::move(call));
            continue;
        }
        auto& state = m_nodes[node];
        state.busy_until = std::max(now, state.busy_until) + call.expected;
        state.calls[call.id] = {call.expected, state.busy_until};
        result.push_back({node, std::move(call)});
    }
    m_waiting = std::move(remaining);
    return result;
}

void advice_balancer::clear() {
    m_nodes.clear();
    m_waiting.clear();
}

} // namespace buckthornspar::service
