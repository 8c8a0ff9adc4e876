#include "core/routing/routing_policy.h"

#include <algorithm>
#include <vector>

namespace buckthornspar::routing {

namespace {

// Linear reward-penalty automaton with responses in [0, 1] (S-model), after Economides, Ioannou and
// Silvester, "Decentralized Adaptive Routing for Virtual Circuit Networks Using Stochastic Learning
// Automata". The penalty of an answer is its service time divided by twice the mean, at most 1; a
// failure has the penalty 1.
class learning_automaton final : public routing_policy {
public:
    std::optional<std::size_t> choose(const route_query& q) override {
        return draw(q, usable_runners(q));
    }

    void on_runner_added(std::size_t index) override {
        if (m_weights.size() <= index) {
            m_weights.resize(index + 1, 1.0);
        }
        m_weights[index] = 1.0;
    }

    void on_answer(const runner_table& table, std::size_t index, duration service_time,
                   bool failed) override {
        const double mean = std::max(static_cast<double>(table.service_time().count()), 1.0);
        const double relative = static_cast<double>(service_time.count()) / (2 * mean);
        const double penalty = failed ? 1.0 : std::min(relative, 1.0);
        // A runner's probability is its weight divided by the sum of the weights. Updating one
        // weight therefore changes all probabilities, as the two-sided update of the linear scheme
        // does.
        double& weight = m_weights[index];
        weight += reward_step * (1 - penalty) * (max_weight - weight);
        weight -= penalty_step * penalty * (weight - min_weight);
    }

private:
    std::optional<std::size_t> draw(const route_query& q,
                                    const std::vector<std::size_t>& candidates) const {
        double sum = 0;
        for (const std::size_t index : candidates) {
            sum += m_weights[index];
        }
        double left = q.random.unit() * sum;
        for (const std::size_t index : candidates) {
            left -= m_weights[index];
            if (left < 0) {
                return index;
            }
        }
        return candidates.empty() ? std::nullopt : std::optional(candidates.back());
    }

    static constexpr double reward_step = 0.05;
    static constexpr double penalty_step = 0.05;
    static constexpr double max_weight = 2.0;
    static constexpr double min_weight = 0.05;

    std::vector<double> m_weights;
};

const policy_registration registration("learning_automaton", [](const policy_setup&) {
    return std::make_unique<learning_automaton>();
});

} // namespace

} // namespace buckthornspar::routing
