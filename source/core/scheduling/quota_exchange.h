#pragma once

#include "core/common/clock.h"
#include "core/scheduling/quota_holder.h"
#include "core/scheduling/quota_home.h"
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

/// Home shard of the team's quota: rendezvous hash over the shards, which must be the same list in
/// all schedulers. Empty for an empty list.
[[nodiscard]] std::string quota_home_of(std::string_view team,
                                        const std::vector<std::string>& shards);

/// Limit of a team in an own shard, to be put in force.
struct quota_limit {
    std::string shard;
    std::string team;
    placement::resources limit;
};

struct quota_step {
    /// Limits that have changed. They must be in force before the messages are sent: otherwise two
    /// shards could start tasks on the same part.
    std::vector<quota_limit> limits;
    std::vector<outgoing_quota_message> messages;
};

/// One scheduler's part in sharing the quotas of teams between shards: the home shard of a team
/// grants parts of its quota to the other shards. Pure: it takes events and the time, and on_time()
/// returns what to do. A team's limit in an own shard is zero until a step says otherwise.
class quota_exchange {
public:
    /// shards are all shards of the system.
    quota_exchange(std::vector<std::string> shards, quota_exchange_settings settings,
                   common::counters& counters);
    // Teams refer to the settings.
    quota_exchange(const quota_exchange&) = delete;
    quota_exchange& operator=(const quota_exchange&) = delete;

    void set_quotas(std::map<std::string, placement::resources> quotas);

    /// This process owns the shard and knows all tasks that run in it. Two owners of a shard must
    /// not take part at the same time: a former home owner and a former holder could otherwise
    /// settle with the successor of the other one, and a part would count twice.
    void own(const std::string& shard, std::uint64_t epoch);
    void disown(const std::string& shard);
    /// The workers may obey another owner at present. Without effect on the limits; own() with the
    /// same epoch goes on.
    void pause(const std::string& shard);
    /// Another process owns the shard with this epoch.
    void on_owner(common::time_point now, const std::string& shard, std::uint64_t epoch);

    /// Replaces what the teams use and want in an own shard. Teams that are left out use nothing.
    void set_needs(const std::string& shard, std::map<std::string, quota_need> needs);

    void on_message(common::time_point now, const quota_message& message);

    [[nodiscard]] quota_step on_time(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const { return m_wakeup; }

private:
    struct own_shard {
        std::uint64_t epoch = 0;
        bool paused = false;
        std::map<std::string, quota_need> needs;
        std::map<std::string, quota_home> homes;
        std::map<std::string, quota_holder> holders;
        /// Limits as of the last step.
        std::map<std::string, placement::resources> in_force;
    };

    [[nodiscard]] std::string_view refusal_of(const quota_message& message) const;
    void take(common::time_point now, own_shard& shard, const quota_message& message);
    void count(std::string_view counter, std::string_view reason) const;
    quota_home& home(const std::string& name, own_shard& shard, const std::string& team);
    quota_holder& holder(common::time_point now, own_shard& shard, const std::string& team);
    [[nodiscard]] const std::string& home_of(const std::string& team) const;
    void run(common::time_point now, const std::string& name, own_shard& shard, quota_step& step);
    void run_team(common::time_point now, const std::string& name, own_shard& shard,
                  const std::string& team, const placement::resources& quota, quota_step& step);
    void post(const std::string& from, std::uint64_t epoch, const std::string& team,
              outgoing_quota_message item, quota_step& step);
    static void put_in_force(const std::string& name, own_shard& shard, const std::string& team,
                             const placement::resources& limit, quota_step& step);
    void wake_at(const std::optional<common::time_point>& time);

    std::vector<std::string> m_shards;
    quota_exchange_settings m_settings;
    common::counters& m_counters;
    std::map<std::string, placement::resources> m_quotas;
    std::map<std::string, own_shard> m_own;
    /// Highest known epochs of the other shards.
    std::map<std::string, std::uint64_t> m_epochs;
    mutable std::map<std::string, std::string> m_home_of;
    /// Messages between own shards.
    std::deque<quota_message> m_local;
    /// Last number of a message. It covers all teams and is never reset, so that a late message of
    /// a quota that was removed cannot pass for a new one.
    std::uint64_t m_sequence = 0;
    std::optional<common::time_point> m_wakeup;
};

} // namespace buckthornspar::scheduling
