#pragma once

#include "core/common/clock.h"
#include "core/membership/instance_list.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::membership {

enum class member_state {
    live,
    leaving,   ///< gets no new work
    suspected, ///< its connections fail, or good lists do not show it any more
};

[[nodiscard]] std::string_view to_string(member_state state);

struct membership_options {
    /// Failed connections in a row that make a member suspected.
    std::uint32_t suspect_after_failures = 2;
    /// A member that is missing from good lists for this time is terminated.
    common::duration gone_after = std::chrono::seconds(60);
    /// How long a member's own statement that it is leaving outweighs a list that shows it as live,
    /// since the list lags.
    common::duration leaving_hold = std::chrono::seconds(30);
    /// Lists with a lower index in a row after which the index is taken as restarted.
    std::uint32_t max_older_lists = 3;
};

struct member {
    instance info;
    member_state state = member_state::live;
    /// First of the good lists in a row that did not show it; empty when the last one did.
    std::optional<common::time_point> missing_since;
};

/// A change of state; an empty state stands for not being a member.
struct membership_change {
    std::string id;
    std::optional<member_state> before;
    std::optional<member_state> after;
};

/// The members of the fleet as far as this process knows: the last good list, corrected by what
/// its connections show. Pure.
class membership_view {
public:
    explicit membership_view(membership_options options) : m_options(options) {}

    /// A list that was read. One with a lower index is an older view and is ignored.
    void on_list(common::time_point now, const instance_snapshot& snapshot);

    /// The list could not be read; the last good one stays in use.
    void on_list_failed() { ++m_failed_lists; }

    /// A message of the member arrived.
    void on_heard(common::time_point now, const std::string& id);

    /// A connection to the member failed or has become silent.
    void on_connection_failed(common::time_point now, const std::string& id);

    /// The member refused work because it is leaving.
    void on_leaving(common::time_point now, const std::string& id);

    [[nodiscard]] const member* find(const std::string& id) const;
    /// Sorted by id.
    [[nodiscard]] std::vector<member> members(instance_role role) const;

    /// Time of the last good list; empty when there was none.
    [[nodiscard]] std::optional<common::time_point> last_good_list() const { return m_last_good; }
    /// Lists in a row that could not be read.
    [[nodiscard]] std::uint32_t failed_lists() const { return m_failed_lists; }

    [[nodiscard]] std::vector<membership_change> take_changes();

private:
    struct entry {
        member shown;
        std::uint32_t failures = 0;
        std::optional<common::time_point> said_leaving;
    };

    [[nodiscard]] bool is_older(const instance_snapshot& snapshot);
    void take_instance(common::time_point now, const instance& listed);
    void note_missing(common::time_point now, const instance_snapshot& snapshot);
    void update_state(common::time_point now, entry& e);
    [[nodiscard]] member_state state_of(common::time_point now, const entry& e) const;

    membership_options m_options;
    std::map<std::string, entry> m_entries;
    std::uint64_t m_index = 0;
    std::uint32_t m_older_lists = 0;
    std::uint32_t m_failed_lists = 0;
    std::optional<common::time_point> m_last_good;
    std::vector<membership_change> m_changes;
};

} // namespace buckthornspar::membership
