#include "core/scheduling/quota_exchange.h"

#include "core/common/counters.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace buckthornspar::scheduling {

using placement::resources;

std::string quota_home_shard(std::string_view team, const std::vector<std::string>& shards) {
    std::string best;
    std::uint64_t best_weight = 0;
    for (const auto& shard : shards) {
        const XXH64_hash_t seed = XXH3_64bits(shard.data(), shard.size());
        const std::uint64_t weight = XXH3_64bits_withSeed(team.data(), team.size(), seed);
        if (best.empty() || weight > best_weight) {
            best = shard;
            best_weight = weight;
        }
    }
    return best;
}

quota_exchange::quota_exchange(std::vector<std::string> shards, quota_exchange_settings settings,
                               common::counters& counters)
    : m_shards(std::move(shards)), m_settings(settings), m_counters(counters) {}

// Events.

void quota_exchange::set_quotas(std::map<std::string, resources> quotas) {
    if (quotas == m_quotas) {
        return;
    }
    for (const auto& [team, quota] : m_quotas) {
        if (quotas.contains(team)) {
            continue;
        }
        for (auto& [name, shard] : m_owned) {
            if (const auto found = shard.allocators.find(team); found != shard.allocators.end()) {
                found->second.on_quota_removed();
            }
            if (const auto found = shard.holders.find(team); found != shard.holders.end()) {
                found->second.on_quota_removed();
            }
        }
    }
    // Limits that were discarded with their quota must be reported again.
    for (auto& [name, shard] : m_owned) {
        shard.limits.clear();
    }
    m_quotas = std::move(quotas);
}

void quota_exchange::add_owned_shard(const std::string& shard, std::uint64_t epoch) {
    const auto position = m_owned.find(shard);
    if (position != m_owned.end() && position->second.epoch == epoch) {
        position->second.paused = false;
        return;
    }
    m_owned[shard] = owned_shard{};
    m_owned[shard].epoch = epoch;
}

void quota_exchange::remove_owned_shard(const std::string& shard) {
    m_owned.erase(shard);
}

void quota_exchange::pause_owned_shard(const std::string& shard) {
    const auto position = m_owned.find(shard);
    if (position != m_owned.end()) {
        position->second.paused = true;
    }
}

void quota_exchange::on_owner(common::time_point now, const std::string& shard,
                              std::uint64_t epoch) {
    std::uint64_t& known = m_epochs[shard];
    if (epoch <= known) {
        return;
    }
    known = epoch;
    for (auto& [name, own] : m_owned) {
        for (auto& [team, item] : own.holders) {
            if (home_shard_of(team) == shard) {
                item.on_home_epoch(now, epoch);
            }
        }
    }
}

void quota_exchange::set_needs(const std::string& shard, std::map<std::string, quota_need> needs) {
    const auto position = m_owned.find(shard);
    if (position != m_owned.end()) {
        position->second.needs = std::move(needs);
    }
}

void quota_exchange::count_message(std::string_view counter, std::string_view reason) const {
    m_counters.get(counter, "reason", reason).add();
}

std::string_view quota_exchange::refusal_reason(const quota_message& message) const {
    const auto known = [this](const std::string& shard) {
        return std::find(m_shards.begin(), m_shards.end(), shard) != m_shards.end();
    };
    if (!known(message.from_shard) || message.from_shard == message.to_shard) {
        return "unknown_shard";
    }
    const auto own = m_owned.find(message.to_shard);
    if (own == m_owned.end() || own->second.paused) {
        return "not_owner";
    }
    if (!m_quotas.contains(message.team)) {
        return "unknown_team";
    }
    // Can differ only while two schedulers are configured with different shard lists.
    const bool statement = message.kind == quota_message_kind::statement;
    if (home_shard_of(message.team) != (statement ? message.to_shard : message.from_shard)) {
        return "not_home";
    }
    const bool valid = message.amount.non_negative() && message.wanted.non_negative() &&
                       message.least.non_negative();
    return valid ? "" : "invalid_amount";
}

void quota_exchange::on_message(common::time_point now, const quota_message& message) {
    if (const auto reason = refusal_reason(message); !reason.empty()) {
        count_message("quota_messages_refused_total", reason);
        return;
    }
    on_owner(now, message.from_shard, message.from_epoch);
    dispatch(now, m_owned.at(message.to_shard), message);
}

void quota_exchange::dispatch(common::time_point now, owned_shard& shard,
                              const quota_message& message) {
    const bool statement = message.kind == quota_message_kind::statement;
    quota_message_result result = quota_message_result::stale_epoch;
    if (statement && message.to_epoch == shard.epoch) {
        result = allocator(message.to_shard, shard, message.team).on_statement(now, message);
    } else if (statement && message.to_epoch < shard.epoch) {
        allocator(message.to_shard, shard, message.team).on_outdated_epoch(message.from_shard);
    } else if (!statement &&
               (message.kind == quota_message_kind::query || message.to_epoch == shard.epoch)) {
        result =
            holder(now, shard, message.team).on_message(now, message, m_quotas.at(message.team));
    }
    if (result == quota_message_result::stale_epoch) {
        count_message("quota_messages_stale_total", "epoch");
    } else if (result == quota_message_result::stale_sequence) {
        count_message("quota_messages_stale_total", "sequence");
    } else if (result == quota_message_result::stale_quota) {
        count_message("quota_messages_stale_total", "quota");
    }
}

// Teams.

const std::string& quota_exchange::home_shard_of(const std::string& team) const {
    const auto [position, inserted] = m_home_shards.try_emplace(team);
    if (inserted) {
        position->second = quota_home_shard(team, m_shards);
    }
    return position->second;
}

quota_allocator& quota_exchange::allocator(const std::string& name, owned_shard& shard,
                                           const std::string& team) {
    const auto position = shard.allocators.find(team);
    if (position != shard.allocators.end()) {
        return position->second;
    }
    std::vector<std::string> others = m_shards;
    std::erase(others, name);
    return shard.allocators.try_emplace(team, m_settings, others).first->second;
}

quota_holder& quota_exchange::holder(common::time_point now, owned_shard& shard,
                                     const std::string& team) {
    const auto [position, inserted] = shard.holders.try_emplace(team, m_settings);
    if (inserted) {
        const std::string& home = home_shard_of(team);
        const auto own = m_owned.find(home);
        position->second.on_home_epoch(now,
                                       own == m_owned.end() ? m_epochs[home] : own->second.epoch);
    }
    return position->second;
}

// Steps.

void quota_exchange::schedule_wakeup(const std::optional<common::time_point>& time) {
    if (time) {
        m_wakeup = std::min(m_wakeup.value_or(*time), *time);
    }
}

quota_exchange_step quota_exchange::on_time(common::time_point now) {
    quota_exchange_step step;
    do {
        for (auto local = std::exchange(m_local, {}); const auto& message : local) {
            on_message(now, message);
        }
        m_wakeup.reset();
        for (auto& [name, shard] : m_owned) {
            if (!shard.paused) {
                update_shard(now, name, shard, step);
            }
        }
    } while (!m_local.empty());
    return step;
}

void quota_exchange::update_shard(common::time_point now, const std::string& name,
                                  owned_shard& shard, quota_exchange_step& step) {
    std::set<std::string> teams;
    const auto add_names = [&teams](const auto& named) {
        for (const auto& [team, item] : named) {
            teams.insert(team);
        }
    };
    add_names(shard.needs);
    add_names(shard.allocators);
    add_names(shard.holders);
    for (const auto& team : teams) {
        const auto quota = m_quotas.find(team);
        if (quota != m_quotas.end()) {
            update_team(now, name, shard, team, quota->second, step);
        }
    }
}

void quota_exchange::update_team(common::time_point now, const std::string& name,
                                 owned_shard& shard, const std::string& team,
                                 const resources& quota, quota_exchange_step& step) {
    const auto found = shard.needs.find(team);
    const quota_need need = found == shard.needs.end() ? quota_need{} : found->second;
    if (home_shard_of(team) == name) {
        quota_allocator& item = allocator(name, shard, team);
        auto messages = item.on_time(now, need, quota, m_sequence);
        set_limit(name, shard, team, item.limit(), step);
        schedule_wakeup(item.next_wakeup());
        for (auto& message : messages) {
            send(name, shard.epoch, team, std::move(message), step);
        }
        return;
    }
    quota_holder& item = holder(now, shard, team);
    auto message = item.on_time(now, need, quota, m_sequence);
    set_limit(name, shard, team, item.limit(), step);
    schedule_wakeup(item.next_wakeup());
    if (message) {
        message->message.to_shard = home_shard_of(team);
        send(name, shard.epoch, team, std::move(*message), step);
    }
}

void quota_exchange::set_limit(const std::string& name, owned_shard& shard, const std::string& team,
                               const resources& limit, quota_exchange_step& step) {
    const auto [position, inserted] = shard.limits.try_emplace(team, limit);
    if (inserted || position->second != limit) {
        position->second = limit;
        step.limits.push_back({name, team, limit});
    }
}

void quota_exchange::send(const std::string& from, std::uint64_t epoch, const std::string& team,
                          outgoing_quota_message item, quota_exchange_step& step) {
    item.message.team = team;
    item.message.from_shard = from;
    item.message.from_epoch = epoch;
    const auto own = m_owned.find(item.message.to_shard);
    if (own != m_owned.end()) {
        item.message.to_epoch = own->second.epoch;
        m_local.push_back(std::move(item.message));
        return;
    }
    m_counters.get("quota_messages_sent_total").add();
    step.messages.push_back(std::move(item));
}

} // namespace buckthornspar::scheduling
