#include "core/routing/routing_policy.h"
#include "core/routing/slot_shares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace buckthornspar::routing {

namespace {

constexpr duration demand_lifetime = std::chrono::seconds(10);
// Unchanged demands and grants are repeated, because messages between entries can be lost. The
// period is long because traffic between regions is billed even when there is little load.
constexpr duration repeat_period = std::chrono::milliseconds(2500);
constexpr double demand_fall_weight = 0.2;
// An entry with at most this many requests finds free slots without grants. It sends no demand, so
// that the owners drop its demand after demand_lifetime and send it no grants either.
constexpr double idle_demand = 2;

// Budget for speculative sends: requests to runners of other regions that report no free slot.
// Refilling it per answer bounds their share of the load when every runner is full, for example
// after an outage. Refilling it per tick lets the entry find the first free slot when there are no
// answers.
constexpr double speculative_sends_per_answer = 2;
constexpr double speculative_sends_per_tick = 1;
constexpr double max_speculative_sends = 100;

struct grant {
    std::uint32_t slots = 0;
    time_point until{};
};

struct expiring_demand {
    entry_demand demand;
    time_point until{};
};

struct sent_demand {
    double wanted = 0;
    time_point at{};
};

struct sent_grants {
    std::map<std::string, std::uint32_t> counts;
    time_point at{};
};

// Each runner is owned by one entry, which distributes the runner's slots among all entries by
// their demand. A request goes to a granted slot if there is one, otherwise to a runner that
// probably has a free slot.
class slot_grants final : public routing_policy {
public:
    explicit slot_grants(policy_setup setup) : m_setup(std::move(setup)) {}

    std::optional<std::size_t> choose(const route_query& q) override {
        std::optional<std::size_t> best;
        double best_score = 0;
        std::uint64_t ties = 0;
        for (const std::size_t index : usable_runners(q)) {
            const auto s = q.local ? local_score(q, index) : remote_score(q, index);
            if (!s || (best && *s < best_score)) {
                continue;
            }
            ties = best && *s == best_score ? ties + 1 : 1;
            if (q.random.below(ties) == 0) {
                best = index;
            }
            best_score = *s;
        }
        const bool speculative = best && !q.local && best_score <= 0;
        if (speculative && !try_take_speculative_send()) {
            return std::nullopt;
        }
        return best;
    }

    void on_answer(const runner_table& /*table*/, std::size_t /*index*/, duration /*service_time*/,
                   bool /*failed*/) override {
        add_speculative_sends(speculative_sends_per_answer);
    }

    void on_runner_added(std::size_t index) override {
        if (m_grants.size() <= index) {
            m_grants.resize(index + 1);
        }
        m_grants[index] = {};
    }

    void on_peer_message(const peer_message& message, const runner_table& table,
                         time_point now) override {
        if (const auto* demand = std::get_if<slot_demand>(&message.content)) {
            m_demands[message.entry] = {{demand->region, demand->wanted}, now + demand_lifetime};
        } else if (const auto* granted = std::get_if<slot_grant>(&message.content)) {
            apply_grant(*granted, table, now);
        }
    }

    void on_tick(const policy_tick& t, std::vector<peer_message>& out) override {
        add_speculative_sends(speculative_sends_per_tick);
        remove_unlisted_entries(t);
        update_own_demand(t);
        update_owners(t);
        send_demands(t, out);
        send_grants(t, out);
    }

private:
    // Runners with an unused granted slot score highest, because no other entry should use that
    // slot. The others are scored by the estimated number of free slots.
    [[nodiscard]] std::optional<double> local_score(const route_query& q, std::size_t index) const {
        const grant& g = m_grants[index];
        const std::uint32_t outstanding = q.table.at(index).outstanding;
        if (q.now < g.until && g.slots > outstanding) {
            return granted_bonus + g.slots - outstanding;
        }
        const std::uint32_t free = q.table.free_estimate(index, q.now);
        return free > 0 ? std::optional<double>(free) : std::nullopt;
    }

    // Reports from other regions are old, so a runner without a reported free slot gets a negative
    // score instead of none: waiting for a newer report was slower in the benchmark than the
    // refusals.
    [[nodiscard]] static std::optional<double> remote_score(const route_query& q,
                                                            std::size_t index) {
        const std::uint32_t free = q.table.free_estimate(index, q.now);
        return free > 0 ? free : -static_cast<double>(q.table.at(index).outstanding);
    }

    void add_speculative_sends(double count) {
        m_speculative_sends = std::min(m_speculative_sends + count, max_speculative_sends);
    }

    bool try_take_speculative_send() {
        if (m_speculative_sends < 1) {
            return false;
        }
        m_speculative_sends -= 1;
        return true;
    }

    static constexpr double granted_bonus = 1000;

    void apply_grant(const slot_grant& granted, const runner_table& table, time_point now) {
        for (const auto& count : granted.counts) {
            if (const auto index = table.find(count.runner)) {
                m_grants[*index] = {count.slots, now + slot_grant_lifetime};
            }
        }
    }

    // Demand rises immediately and decays slowly, so that a gap between two arrivals does not move
    // slots to other entries.
    void update_own_demand(const policy_tick& t) {
        const double in_use = static_cast<double>(t.table.outstanding() + t.waiting);
        if (in_use > m_wanted) {
            m_wanted = in_use;
        } else {
            m_wanted += demand_fall_weight * (in_use - m_wanted);
        }
        m_demands[m_setup.entry_id] = {{m_setup.region, m_wanted + 1}, t.now + demand_lifetime};
    }

    // Drops the state of entries that are no longer listed, so that they get no slots. An entry
    // that has not been listed yet keeps its demand.
    void remove_unlisted_entries(const policy_tick& t) {
        const auto listed = [&](const std::string& id) {
            return std::any_of(t.entries.begin(), t.entries.end(),
                               [&](const auto& e) { return e.id == id; });
        };
        for (const auto& id : m_listed_entries) {
            if (!listed(id)) {
                m_demands.erase(id);
                m_sent_demands.erase(id);
                m_sent_grants.erase(id);
            }
        }
        m_listed_entries.clear();
        for (const auto& e : t.entries) {
            m_listed_entries.push_back(e.id);
        }
        std::erase_if(m_demands, [&](const auto& item) { return item.second.until <= t.now; });
    }

    static std::string owner_of(const runner& r, const std::vector<peer_entry>& entries) {
        const bool any_local = std::any_of(entries.begin(), entries.end(),
                                           [&](const auto& e) { return e.region == r.region; });
        std::string owner;
        XXH64_hash_t highest = 0;
        for (const auto& e : entries) {
            if (any_local && e.region != r.region) {
                continue;
            }
            const std::string pair = e.id + "/" + r.id;
            const XXH64_hash_t score = XXH3_64bits(pair.data(), pair.size());
            if (owner.empty() || score > highest) {
                owner = e.id;
                highest = score;
            }
        }
        return owner;
    }

    void update_owners(const policy_tick& t) {
        m_owners.clear();
        m_owned.clear();
        m_capacity.clear();
        for (std::size_t index = 0; index < t.table.size(); ++index) {
            const runner& r = t.table.at(index);
            if (!t.table.is_available(index, t.now)) {
                continue;
            }
            m_capacity[r.region] += r.slots;
            const std::string owner = owner_of(r, t.entries);
            if (owner == m_setup.entry_id) {
                m_owned[r.region].push_back(index);
            } else if (!owner.empty()) {
                m_owners.insert(owner);
            }
        }
    }

    void send_demands(const policy_tick& t, std::vector<peer_message>& out) {
        for (const auto& owner : m_owners) {
            sent_demand& last = m_sent_demands[owner];
            const bool changed = std::abs(m_wanted - last.wanted) >= std::max(1.0, 0.02 * m_wanted);
            const bool idle = m_wanted <= idle_demand && last.wanted <= idle_demand;
            if (!idle && (changed || t.now - last.at >= repeat_period)) {
                last = {m_wanted, t.now};
                out.push_back({owner, slot_demand{m_setup.service, m_setup.region, m_wanted + 1}});
            }
        }
    }

    // Grants go only to entries whose demand is known.
    void send_grants(const policy_tick& t, std::vector<peer_message>& out) {
        std::map<std::string, entry_demand> demands;
        for (const auto& [entry, known] : m_demands) {
            demands.emplace(entry, known.demand);
        }
        std::map<std::string, std::map<std::string, std::uint32_t>> counts;
        for (const auto& [region, owned] : m_owned) {
            distribute_slots(t.table, owned, slot_shares(region, m_capacity, demands), counts);
        }
        for (auto& [entry, by_runner] : counts) {
            send_grant(entry, by_runner, t, out);
        }
    }

    // Fractions of a slot are carried over from runner to runner, so that the total of an entry
    // matches its share.
    static void
    distribute_slots(const runner_table& table, const std::vector<std::size_t>& owned,
                     const std::map<std::string, double>& shares,
                     std::map<std::string, std::map<std::string, std::uint32_t>>& counts) {
        std::map<std::string, double> credit;
        for (const std::size_t index : owned) {
            const runner& r = table.at(index);
            for (const auto& [entry, share] : shares) {
                credit[entry] += share * r.slots;
                counts[entry][r.id] = 0;
            }
            for (std::uint32_t slot = 0; slot < r.slots && !credit.empty(); ++slot) {
                const auto first = std::max_element(
                    credit.begin(), credit.end(),
                    [](const auto& a, const auto& b) { return a.second < b.second; });
                first->second -= 1;
                ++counts[first->first][r.id];
            }
        }
    }

    void send_grant(const std::string& entry, const std::map<std::string, std::uint32_t>& by_runner,
                    const policy_tick& t, std::vector<peer_message>& out) {
        slot_grant message{m_setup.service, {}};
        sent_grants& last = m_sent_grants[entry];
        const bool repeat = t.now - last.at >= repeat_period;
        for (const auto& [id, slots] : by_runner) {
            const auto before = last.counts.find(id);
            if (repeat || before == last.counts.end() || before->second != slots) {
                message.counts.push_back({id, slots});
            }
        }
        last.counts = by_runner;
        if (repeat) {
            last.at = t.now;
        }
        if (message.counts.empty()) {
            return;
        }
        if (entry == m_setup.entry_id) {
            apply_grant(message, t.table, t.now);
        } else {
            out.push_back({entry, std::move(message)});
        }
    }

    policy_setup m_setup;
    double m_wanted = 0;
    double m_speculative_sends = max_speculative_sends;
    std::vector<grant> m_grants;
    std::vector<std::string> m_listed_entries;
    std::map<std::string, expiring_demand> m_demands;
    std::map<std::string, double> m_capacity;
    std::set<std::string> m_owners;
    std::map<std::string, std::vector<std::size_t>> m_owned;
    std::map<std::string, sent_demand> m_sent_demands;
    std::map<std::string, sent_grants> m_sent_grants;
};

const policy_registration registration("slot_grants", [](const policy_setup& setup) {
    return std::make_unique<slot_grants>(setup);
});

} // namespace

} // namespace buckthornspar::routing
