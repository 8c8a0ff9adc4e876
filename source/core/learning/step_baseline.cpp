#include "core/learning/step_baseline.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace buckthornspar::learning {

namespace {

constexpr std::size_t max_steps = 512;
// One other run does not tell whether it or the new one is unusual.
constexpr std::size_t min_references = 2;
// Two references that differ by more than this factor (as a logarithm) tell nothing: one of them is
// a straggler.
constexpr double max_disagreement = 0.9;
constexpr worker_index no_worker = std::numeric_limits<worker_index>::max();

} // namespace

std::optional<double> step_baseline::log_work(const std::vector<entry>& runs, worker_index except,
                                              const speed_of& speed) {
    std::array<double, max_entries> values{};
    std::size_t count = 0;
    for (const auto& run : runs) {
        if (run.worker != except) {
            values[count++] = double{run.log_duration} + speed(run.worker);
        }
    }
    if (count < min_references) {
        return std::nullopt;
    }
    std::sort(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(count));
    if (count == min_references && values[1] - values[0] > max_disagreement) {
        return std::nullopt;
    }
    return (values[count / 2] + values[(count - 1) / 2]) / 2.0;
}

std::optional<double> step_baseline::log_work(step_id step, const speed_of& speed) const {
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? std::nullopt
                                  : log_work(found->second.entries, no_worker, speed);
}

// Runs are compared when all tasks of their step have ended: those that end first are the shorter
// ones, so that each later run would be compared with shorter ones only.
std::vector<std::vector<step_baseline::entry>> step_baseline::add(step_id step, std::size_t tasks,
                                                                  const entry& run) {
    std::vector<std::vector<entry>> complete;
    auto [position, added] = m_steps.try_emplace(step);
    auto& runs = position->second;
    if (!runs.compared) {
        runs.entries.push_back(run);
        if (runs.entries.size() >= std::min(tasks, max_entries)) {
            runs.compared = true;
            complete.push_back(runs.entries);
        }
    }
    if (added) {
        m_order.push_back(step);
        if (m_order.size() > max_steps) {
            const auto oldest = m_steps.find(m_order.front());
            if (!oldest->second.compared) {
                complete.push_back(std::move(oldest->second.entries));
            }
            m_steps.erase(oldest);
            m_order.pop_front();
        }
    }
    return complete;
}

} // namespace buckthornspar::learning
