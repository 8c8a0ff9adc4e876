#include "core/service/owner_placement.h"

#include <utility>

namespace buckthornspar::service {

owner_placement::owner_placement(std::optional<node_capability> own, placement_settings settings)
    : m_own(own), m_settings(settings) {}

void owner_placement::on_term_begun(common::time_point now) {
    m_term_begun = now;
    m_better_since.reset();
}

std::optional<owner_placement::target>
owner_placement::choose_successor(common::time_point now, const fleet_size& fleet,
                                  const std::vector<ownership_candidate>& nodes) {
    if (!m_own) {
        return std::nullopt;
    }
    std::optional<target> best;
    for (const auto& node : nodes) {
        if (!node.capability || !node.may_claim) {
            continue;
        }
        const auto value = suitability_of(*node.capability, fleet).value;
        if (!best || value > best->suitability) {
            best = target{node.node, value};
        }
    }
    const auto own = suitability_of(*m_own, fleet).value;
    if (!best || best->suitability < own * m_settings.margin) {
        m_better_since.reset();
        return std::nullopt;
    }
    if (!m_better_since) {
        m_better_since = now;
    }
    const bool due = now - *m_better_since >= m_settings.better_for &&
                     now - m_term_begun >= m_settings.min_term &&
                     (!m_handed_over || now - *m_handed_over >= m_settings.min_interval);
    return due ? std::move(best) : std::nullopt;
}

} // namespace buckthornspar::service
