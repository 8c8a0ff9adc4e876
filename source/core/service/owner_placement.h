#pragma once

#include "core/common/clock.h"
#include "core/service/node_capability.h"

#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::service {

struct placement_settings {
    /// The other node must be this many times as suitable, so that nodes that are nearly equal
    /// never take turns.
    double margin = 1.5;
    /// Time for which a more suitable node must have been alive without interruption.
    common::duration better_for = std::chrono::seconds(3);
    common::duration min_term = std::chrono::seconds(3);
    /// Time between two hand-overs of this node.
    common::duration min_interval = std::chrono::seconds(30);
};

/// Decides when an owner hands the ownership over to a node that can carry the fleet better. Knows
/// neither the store nor the network.
class owner_placement {
public:
    struct target {
        std::string node;
        double suitability = 0.0;
    };

    /// A node that does not know its own capability never hands over.
    explicit owner_placement(std::optional<node_capability> own, placement_settings settings = {});

    /// A term of this node as owner begins.
    void on_term_begun(common::time_point now);
    void on_handed_over(common::time_point now) { m_handed_over = now; }

    /// The most suitable of the live nodes, if a hand-over to it is due. Called about once a
    /// second.
    [[nodiscard]] std::optional<target>
    choose_successor(common::time_point now, const fleet_size& fleet,
                     const std::vector<ownership_candidate>& nodes);

private:
    std::optional<node_capability> m_own;
    placement_settings m_settings;
    common::time_point m_term_begun;
    /// Since when a clearly more suitable node has been alive.
    std::optional<common::time_point> m_better_since;
    std::optional<common::time_point> m_handed_over;
};

} // namespace buckthornspar::service
