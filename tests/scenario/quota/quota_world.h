#pragma once

#include "core/common/counters.h"
#include "core/common/event_queue.h"
#include "core/common/rng.h"
#include "core/scheduling/quota_exchange.h"
#include "scenario/runner.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::scenario {

/// Simulates schedulers that share the quota of one team between their shards s1, s2, ...; s1 is
/// the home shard. Tasks of equal size start when the limit of their shard allows it, and end when
/// the script requests fewer tasks.
///
/// setup: shards, units (the quota), size (units of a task), lose, double, late (percentage of
/// messages lost, duplicated, delayed), together (one process owns all shards), heal_at, mutation
/// (a fault injected into the system itself, to verify that a check detects it).
class quota_world final : public world {
public:
    explicit quota_world(const script& s);

    void run_until(common::duration since_start) override;
    void act(const step& s) override;
    void expect(const step& s) override;
    void finish() override;

    [[nodiscard]] std::size_t messages() const { return m_messages; }
    [[nodiscard]] std::size_t started() const { return m_started; }

private:
    using amount = std::int64_t;

    struct owned_shard {
        std::uint64_t epoch = 0;
        amount limit = 0;
        /// Usage as known to this process.
        amount used = 0;
        /// The workers obey this process.
        bool authority = true;
    };
    struct process {
        std::unique_ptr<scheduling::quota_exchange> exchange;
        std::map<std::string, owned_shard> shards;
        amount quota = 0;
    };
    struct shard {
        std::uint64_t epoch = 0;
        amount used = 0;
        amount wanted = 0;
    };
    struct link_faults {
        std::int64_t lose_percent = 0;
        std::int64_t duplicate_percent = 0;
        std::int64_t late_percent = 0;
    };

    void start_process(const std::string& name, const std::vector<std::string>& shards);
    void tick();
    void run_tasks(process& p);
    void run_exchange(const std::string& name);
    void set_limit(const std::string& name, const scheduling::quota_limit& item);
    void send(const scheduling::quota_message& message);
    void deliver(const scheduling::quota_message& message);
    void apply_difference_mutation(const std::string& to, scheduling::quota_message& message);
    void replace_owner(const std::string& shard, common::duration former_owner_lifetime);
    void start_successor(const std::string& shard);
    void set_quota(amount units);
    void deliver_quota(const std::string& name, amount units);
    void heal();
    void check();
    void check_settled() const;
    [[nodiscard]] amount limit_of(const std::string& shard) const;
    [[nodiscard]] amount largest_quota() const;
    [[nodiscard]] placement::resources to_resources(amount units) const;

    common::event_queue m_events;
    common::rng m_rng;
    common::counters m_counters;
    std::vector<std::string> m_shard_names;
    std::string m_team;
    std::map<std::string, process> m_processes;
    std::map<std::string, shard> m_shards;
    std::set<std::string> m_cut_shards;
    link_faults m_faults;
    amount m_quota = 0;
    amount m_size = 1;
    amount m_occupied = 0;
    bool m_has_heal_time = false;
    bool m_healed = false;
    std::string m_mutation;
    std::size_t m_messages = 0;
    std::size_t m_started = 0;
    std::size_t m_takeovers = 0;
    std::map<std::string, amount> m_last_total;
    std::uint64_t m_rewritten_grants = 0;
};

} // namespace buckthornspar::scenario
