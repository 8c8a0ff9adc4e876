#pragma once

#include "core/scheduling/quota_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::scheduling {

/// Allocates the quota of a team between the shards; run by the owner of the team's home shard.
/// Until every other shard has stated what it holds, the home shard's own limit is zero and nothing
/// is granted: tasks that are already running continue, but quota that they release may already
/// belong to another shard.
class quota_allocator {
public:
    quota_allocator(const quota_exchange_settings& settings,
                    const std::vector<std::string>& others);

    /// Processes a statement addressed to this epoch of the home shard.
    [[nodiscard]] quota_message_result on_statement(common::time_point now,
                                                    const quota_message& message);
    /// Called when the shard sent a statement to a former owner; the shard is then informed of this
    /// one.
    void on_outdated_epoch(const std::string& shard);

    /// Updates limit() and returns grants and queries to send. The limit must be in force before
    /// they are sent.
    [[nodiscard]] std::vector<outgoing_quota_message> on_time(common::time_point now,
                                                              const quota_need& need,
                                                              const placement::resources& quota,
                                                              std::uint64_t& sequence);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const { return m_wakeup; }

    [[nodiscard]] const placement::resources& limit() const { return m_limit; }

    /// Called when the quota was removed. What the other shards use from now on is unknown.
    void on_quota_removed();

private:
    /// State of another shard that holds quota.
    struct holder_state {
        bool known = false;
        std::uint64_t epoch = 0;
        std::uint64_t last_statement = 0;
        /// Upper bound of what the shard holds or uses.
        placement::resources committed;
        /// Upper bound of the shard's limit.
        placement::resources granted;
        placement::resources wanted;
        placement::resources least;
        common::time_point waiting_since{};
        common::time_point last_heard{};
        std::uint64_t last_grant = 0;
        /// The grant must be answered by a statement.
        bool needs_confirmation = false;
        bool recalled = false;
        /// The last statement was sent after the last grant had been received.
        bool grant_acknowledged = true;
        bool reply_due = false;
        /// The shard waits for a grant that carries the current quota.
        bool awaits_quota = false;
        bool outdated_epoch = false;
        common::time_point next_send{};
        common::duration retry{};
    };

    [[nodiscard]] bool all_known() const;
    [[nodiscard]] placement::resources committed() const;
    [[nodiscard]] bool has_waiting_demand(const quota_need& need) const;
    void allocate(common::time_point now, const quota_need& need, const placement::resources& quota,
                  std::uint64_t& sequence);
    void recall(const placement::resources& quota, std::uint64_t& sequence);
    static void recall_to(holder_state& holder, const placement::resources& limit,
                          std::uint64_t& sequence);
    void grant_more(common::time_point now, holder_state& holder, placement::resources& available,
                    std::uint64_t& sequence);
    [[nodiscard]] std::optional<outgoing_quota_message>
    next_message(common::time_point now, holder_state& holder, bool waits);
    void schedule_wakeup(common::time_point time);

    const quota_exchange_settings& m_settings;
    std::map<std::string, holder_state> m_holders;
    placement::resources m_limit;
    /// Time since which tasks of the home shard wait for quota.
    std::optional<common::time_point> m_own_waiting_since;
    std::optional<common::time_point> m_wakeup;
};

} // namespace buckthornspar::scheduling
