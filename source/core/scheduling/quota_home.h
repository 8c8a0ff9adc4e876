#pragma once

#include "core/scheduling/quota_message.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::scheduling {

/// The quota of a team as the owner of its home shard hands it out. Until every other shard has
/// stated what is held there, the own limit is zero and nothing is granted: tasks that were found
/// running go on, and what they leave may already belong to another shard.
class quota_home {
public:
    quota_home(const quota_exchange_settings& settings, const std::vector<std::string>& others);

    /// Takes a statement that was sent to this epoch of the home shard.
    [[nodiscard]] quota_verdict on_statement(common::time_point now, const quota_message& message);
    /// The shard sent a statement to a former owner: it must learn of this one.
    void on_misdirected(const std::string& shard);

    /// Sets limit(), and answers with grants and queries. The limit must be in force before they
    /// are sent.
    [[nodiscard]] std::vector<outgoing_quota_message> on_time(common::time_point now,
                                                              const quota_need& need,
                                                              const placement::resources& quota,
                                                              std::uint64_t& sequence);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const { return m_wakeup; }

    [[nodiscard]] const placement::resources& limit() const { return m_limit; }

    /// The quota was removed: what the other shards use from now on is not known.
    void forget();

private:
    /// What is known of another shard.
    struct part {
        bool known = false;
        std::uint64_t epoch = 0;
        std::uint64_t heard = 0;
        /// The most that the shard can hold or use.
        placement::resources counted;
        /// The most that its limit can be.
        placement::resources granted;
        placement::resources wanted;
        placement::resources least;
        common::time_point since{};
        common::time_point last_heard{};
        std::uint64_t grant = 0;
        /// The grant must be answered by a statement.
        bool confirm = false;
        bool recalled = false;
        /// The last statement was made after the last grant had arrived.
        bool settled = true;
        bool reply_due = false;
        /// The shard waits for a grant that names the quota.
        bool asks_quota = false;
        bool misdirected = false;
        common::time_point next_send{};
        common::duration retry{};
    };

    [[nodiscard]] bool all_known() const;
    [[nodiscard]] placement::resources counted() const;
    [[nodiscard]] bool anybody_waits(const quota_need& need) const;
    void allocate(common::time_point now, const quota_need& need, const placement::resources& quota,
                  std::uint64_t& sequence);
    void recall(const placement::resources& quota, std::uint64_t& sequence);
    static void take_back(part& p, const placement::resources& limit, std::uint64_t& sequence);
    void offer(common::time_point now, part& p, placement::resources& room,
               std::uint64_t& sequence);
    [[nodiscard]] std::optional<outgoing_quota_message> next_message(common::time_point now,
                                                                     part& p, bool waits);
    void wake_at(common::time_point time);

    const quota_exchange_settings& m_settings;
    std::map<std::string, part> m_parts;
    placement::resources m_limit;
    /// Since when own tasks wait for the quota.
    std::optional<common::time_point> m_own_since;
    std::optional<common::time_point> m_wakeup;
};

} // namespace buckthornspar::scheduling
