#include "soak/fault_injector.h"

#include "core/common/rng.h"
#include "soak/soak_cluster.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace buckthornspar::soak {

namespace {

constexpr double partition_share = 0.35;
constexpr double silent_share = 0.25;
constexpr double crash_share = 0.12;
constexpr double lost_call_share = 0.35;

} // namespace

void fault_injector::apply(const planned_fault& fault) {
    const auto owner = m_cluster.owner();
    if (!owner && needs_owner(fault.kind)) {
        m_log.write("fault not applied, there is no owner: " + describe(fault));
        return;
    }
    const std::string name(to_string(fault.kind));
    m_log.write("fault " + name + " begins, owner " + owner.value_or("none") + ", for " +
                std::to_string(fault.duration_ms) + " ms");
    ++m_applied;
    m_active.push_back({now_ms() + fault.duration_ms, name, begin(fault, owner.value_or(""))});
}

void fault_injector::end_due() {
    for (auto position = m_active.begin(); position != m_active.end();) {
        if (position->ends_at_ms > now_ms()) {
            ++position;
            continue;
        }
        m_log.write("fault " + position->name + " ends");
        position->end();
        position = m_active.erase(position);
    }
}

void fault_injector::end_all() {
    for (auto& fault : std::exchange(m_active, {})) {
        fault.end();
    }
}

bool fault_injector::needs_owner(fault_kind kind) {
    switch (kind) {
    case fault_kind::partition_unlisted:
    case fault_kind::partition_listed:
    case fault_kind::store_cut:
    case fault_kind::pause:
    case fault_kind::kill:
    case fault_kind::key_revoked:
        return true;
    case fault_kind::store_down:
    case fault_kind::silent_workers:
    case fault_kind::worker_crashes:
    case fault_kind::store_calls_lost:
    case fault_kind::worker_calls_lost:
    case fault_kind::worker_departures:
    case fault_kind::worker_removals:
    case fault_kind::customer_changes:
        return false;
    }
    return false;
}

std::function<void()> fault_injector::begin(const planned_fault& fault, const std::string& owner) {
    common::rng random(fault.seed);
    switch (fault.kind) {
    case fault_kind::partition_unlisted:
        return cut(partition_links(owner, false, random));
    case fault_kind::partition_listed:
        return cut(partition_links(owner, true, random));
    case fault_kind::store_cut:
        return cut({{owner, "store"}});
    case fault_kind::store_down:
        return take_store_down(random);
    case fault_kind::pause:
        m_cluster.signal_node(owner, SIGSTOP);
        return [this, owner] { m_cluster.signal_node(owner, SIGCONT); };
    case fault_kind::kill:
        return kill_owner(owner);
    case fault_kind::silent_workers:
        return cut(silence_links(random));
    case fault_kind::worker_crashes:
        return crash_workers(random);
    case fault_kind::key_revoked:
        m_cluster.on_loop([this] { m_cluster.store().remove("bts/a/owner"); });
        return [] {};
    case fault_kind::store_calls_lost:
        return lose_calls(true);
    case fault_kind::worker_calls_lost:
        return lose_calls(false);
    case fault_kind::worker_departures:
        return replace_workers(false, random);
    case fault_kind::worker_removals:
        return replace_workers(true, random);
    case fault_kind::customer_changes:
        return change_customer(random);
    }
    return [] {};
}

std::function<void()> fault_injector::cut(const std::vector<link>& links) {
    m_cluster.on_loop([&] {
        for (const auto& l : links) {
            m_cluster.links().cut(l.one, l.other);
        }
    });
    return [this, links] {
        m_cluster.on_loop([&] {
            for (const auto& l : links) {
                m_cluster.links().restore(l.one, l.other);
            }
        });
    };
}

std::vector<fault_injector::link>
fault_injector::partition_links(const std::string& owner, bool listed, common::rng& random) const {
    const auto near = draw_workers(partition_share, random);
    std::vector<link> links{{owner, "store"}, {owner, "advice"}};
    for (const auto& node : m_cluster.node_ids()) {
        if (node != owner) {
            links.push_back({owner, node});
        }
    }
    for (const auto& worker : m_cluster.workers()) {
        const bool is_near = std::find(near.begin(), near.end(), worker.get()) != near.end();
        for (const auto& node : m_cluster.node_ids()) {
            if (is_near != (node == owner)) {
                links.push_back({node, worker->id()});
            }
        }
        if (is_near && !listed) {
            links.push_back({worker->id(), "store"});
        }
    }
    return links;
}

std::vector<fault_injector::link> fault_injector::silence_links(common::rng& random) const {
    std::vector<link> links;
    for (const auto* const worker : draw_workers(silent_share, random)) {
        for (const auto& node : m_cluster.node_ids()) {
            links.push_back({node, worker->id()});
        }
    }
    return links;
}

std::function<void()> fault_injector::take_store_down(common::rng& random) {
    const auto state = random.chance(0.5) ? store_state::refusing : store_state::silent;
    const bool expiry = random.chance(0.5);
    ++m_store_outages;
    m_cluster.on_loop([&] {
        m_cluster.store().set_expiry_while_down(expiry);
        m_cluster.store().set_state(state);
    });
    return [this] {
        if (--m_store_outages == 0) {
            m_cluster.on_loop([this] { m_cluster.store().set_state(store_state::up); });
        }
    };
}

std::function<void()> fault_injector::crash_workers(common::rng& random) {
    const auto workers = draw_workers(crash_share, random);
    m_cluster.on_loop([&] {
        for (auto* const worker : workers) {
            m_cluster.crash_worker(*worker);
        }
    });
    return [this, workers] {
        m_cluster.on_loop([&] {
            for (auto* const worker : workers) {
                if (!worker->is_up() && !worker->is_leaving()) {
                    m_cluster.restart_worker(*worker);
                }
            }
        });
    };
}

// The workers that leave are most of the recorded ones, so that an owner that needs a majority of
// them does not reach it again (issue 42).
std::function<void()> fault_injector::replace_workers(bool planned, common::rng& random) {
    std::size_t count = 0;
    m_cluster.on_loop([&] {
        const auto workers = draw_most_workers(random);
        count = workers.size();
        for (auto* const worker : workers) {
            if (planned) {
                worker->drain();
            } else {
                m_cluster.remove_worker(*worker);
            }
        }
    });
    return [this, count] {
        m_cluster.on_loop([&] {
            for (std::size_t i = 0; i < count; ++i) {
                m_cluster.add_worker();
            }
        });
    };
}

std::function<void()> fault_injector::change_customer(common::rng& random) {
    m_cluster.on_loop([&] { m_cluster.change_customer(random); });
    return [] {};
}

std::function<void()> fault_injector::kill_owner(const std::string& owner) {
    m_cluster.kill_node(owner);
    return [this, owner] {
        if (!m_cluster.is_running(owner)) {
            m_cluster.start_node(owner);
        }
    };
}

std::function<void()> fault_injector::lose_calls(bool of_store) {
    const auto set_share = [this, of_store](double share) {
        m_cluster.on_loop([&] {
            (of_store ? m_cluster.store_calls() : m_cluster.worker_calls()).set_share(share);
        });
    };
    set_share(lost_call_share);
    return [set_share] { set_share(0.0); };
}

std::vector<leased_worker*> fault_injector::draw_workers(double share, common::rng& random) const {
    std::vector<leased_worker*> drawn;
    for (const auto& worker : m_cluster.workers()) {
        if (random.chance(share)) {
            drawn.push_back(worker.get());
        }
    }
    return drawn;
}

std::vector<leased_worker*> fault_injector::draw_most_workers(common::rng& random) const {
    std::vector<leased_worker*> staying;
    for (const auto& worker : m_cluster.workers()) {
        if (!worker->is_leaving()) {
            staying.push_back(worker.get());
        }
    }
    const auto count = (staying.size() + 1) / 2 + random.below(staying.size() / 4 + 1);
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(staying[i], staying[i + random.below(staying.size() - i)]);
    }
    staying.resize(count);
    return staying;
}

} // namespace buckthornspar::soak
