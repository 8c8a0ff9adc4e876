#pragma once

#include "core/placement/resources.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// Position of a team in its quota_ledger.
using team_index = std::uint32_t;

/// Dominant share, as in dominant resource fairness: the largest fraction of any one resource of
/// `whole` that the amount takes. A resource that `whole` does not offer counts as 0.
[[nodiscard]] double dominant_share(const resources& amount, const resources& whole);

/// Resources allocated to each team, and its limits.
class quota_ledger {
public:
    team_index team(const std::string& name);
    [[nodiscard]] std::optional<team_index> find(const std::string& name) const;

    [[nodiscard]] const std::string& name(team_index team) const { return m_teams[team].name; }
    [[nodiscard]] std::size_t size() const { return m_teams.size(); }

    /// The limit over all shards. It applies to this shard until set_part() is called.
    void set_limit(team_index team, const resources& limit) { m_teams[team].limit = limit; }
    void clear_limit(team_index team) {
        m_teams[team].limit.reset();
        m_teams[team].part.reset();
    }
    /// The part of the limit that this shard may use.
    void set_part(team_index team, const resources& part) { m_teams[team].part = part; }
    [[nodiscard]] const std::optional<resources>& limit(team_index team) const {
        return m_teams[team].limit;
    }
    [[nodiscard]] const resources& used(team_index team) const { return m_teams[team].used; }

    [[nodiscard]] bool allows(team_index team, const resources& demand) const;
    void charge(team_index team, const resources& demand) { m_teams[team].used += demand; }
    void refund(team_index team, const resources& demand) { m_teams[team].used -= demand; }

    /// Dominant share of the team's use in its limit, or in the fleet for a team without a limit.
    /// Teams with a smaller share go first.
    [[nodiscard]] double share(team_index team, const resources& fleet) const;

private:
    struct account {
        std::string name;
        resources used;
        std::optional<resources> limit;
        std::optional<resources> part;
    };

    std::unordered_map<std::string, team_index> m_index;
    std::vector<account> m_teams;
};

} // namespace buckthornspar::placement
