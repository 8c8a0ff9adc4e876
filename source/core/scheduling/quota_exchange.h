#pragma once

#include "core/common/clock.h"
#include "core/scheduling/quota_allocator.h"
#include "core/scheduling/quota_holder.h"
#include "core/scheduling/quota_message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::common {
class counters;
}

namespace buckthornspar::scheduling {

/// Returns the home shard of the team's quota, chosen by rendezvous hashing. The list of shards
/// must be identical in all schedulers. Returns an empty string for an empty list.
[[nodiscard]] std::string quota_home_shard(std::string_view team,
                                           const std::vector<std::string>& shards);

/// New limit of a team in an owned shard.
struct quota_limit {
    std::string shard;
    std::string team;
    placement::resources limit;
};

struct quota_exchange_step {
    /// Changed limits. They must be in force before the messages are sent; otherwise two shards
    /// could start tasks on the same quota.
    std::vector<quota_limit> limits;
    std::vector<outgoing_quota_message> messages;
};

/// Shares the quotas of teams between shards, for the shards owned by one scheduler: the home shard
/// of a team grants shares of its quota to the other shards. Performs no I/O: it processes events
/// and the time, and on_time() returns the limits to apply and the messages to send. A team's limit
/// in an owned shard is zero until a step sets it.
class quota_exchange {
public:
    /// shards lists all shards of the system.
    quota_exchange(std::vector<std::string> shards, quota_exchange_settings settings,
                   common::counters& counters);
    // Allocators and holders keep references to the settings.
    quota_exchange(const quota_exchange&) = delete;
    quota_exchange& operator=(const quota_exchange&) = delete;

    void set_quotas(std::map<std::string, placement::resources> quotas);

    /// Call when this process owns the shard and knows all tasks that run in it. Two owners of a
    /// shard must never be active at the same time: a former owner of the home shard and a former
    /// holder could each reach agreement with the successor of the other one, and quota would be
    /// granted twice.
    void add_owned_shard(const std::string& shard, std::uint64_t epoch);
    void remove_owned_shard(const std::string& shard);
    /// Call while the workers may obey another owner. Does not change the limits; add_owned_shard()
    /// with the same epoch resumes.
    void pause_owned_shard(const std::string& shard);
    /// Call when another process owns the shard with this epoch.
    void on_owner(common::time_point now, const std::string& shard, std::uint64_t epoch);

    /// Replaces usage and demand of the teams in an owned shard. Teams that are not listed use
    /// nothing.
    void set_needs(const std::string& shard, std::map<std::string, quota_need> needs);

    void on_message(common::time_point now, const quota_message& message);

    [[nodiscard]] quota_exchange_step on_time(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const { return m_wakeup; }

private:
    struct owned_shard {
        std::uint64_t epoch = 0;
        bool paused = false;
        std::map<std::string, quota_need> needs;
        std::map<std::string, quota_allocator> allocators;
        std::map<std::string, quota_holder> holders;
        /// Limits returned by the last step.
        std::map<std::string, placement::resources> limits;
    };

    [[nodiscard]] std::string_view refusal_reason(const quota_message& message) const;
    void dispatch(common::time_point now, owned_shard& shard, const quota_message& message);
    void count_message(std::string_view counter, std::string_view reason) const;
    quota_allocator& allocator(const std::string& name, owned_shard& shard,
                               const std::string& team);
    quota_holder& holder(common::time_point now, owned_shard& shard, const std::string& team);
    [[nodiscard]] const std::string& home_shard_of(const std::string& team) const;
    void update_shard(common::time_point now, const std::string& name, owned_shard& shard,
                      quota_exchange_step& step);
    void update_team(common::time_point now, const std::string& name, owned_shard& shard,
                     const std::string& team, const placement::resources& quota,
                     quota_exchange_step& step);
    void send(const std::string& from, std::uint64_t epoch, const std::string& team,
              outgoing_quota_message item, quota_exchange_step& step);
    static void set_limit(const std::string& name, owned_shard& shard, const std::string& team,
                          const placement::resources& limit, quota_exchange_step& step);
    void schedule_wakeup(const std::optional<common::time_point>& time);

    std::vector<std::string> m_shards;
    quota_exchange_settings m_settings;
    common::counters& m_counters;
    std::map<std::string, placement::resources> m_quotas;
    std::map<std::string, owned_shard> m_owned;
    /// Highest known epoch of each other shard.
    std::map<std::string, std::uint64_t> m_epochs;
    mutable std::map<std::string, std::string> m_home_shards;
    /// Messages between owned shards.
    std::deque<quota_message> m_local;
    /// Last sequence number used. It is shared by all teams and never reset, so that a delayed
    /// message about a removed quota cannot be mistaken for a new one.
    std::uint64_t m_sequence = 0;
    std::optional<common::time_point> m_wakeup;
};

} // namespace buckthornspar::scheduling
