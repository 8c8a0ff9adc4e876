#include "scenario/scheduling/simulation.h"

#include "core/common/overloaded.h"

#include <algorithm>
#include <iostream>

namespace buckthornspar::scenario {

using namespace scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr common::duration call_timeout = seconds(1);
constexpr common::duration heartbeat_interval = milliseconds(500);

std::string numbered(const std::string& name, std::int64_t number) {
    return name + std::to_string(number);
}

} // namespace

simulation::simulation(const script& s) : m_script(s), m_rng(s.seed), m_store(m_events) {
    const auto& setup = m_script.setup;
    // Workers report more capacity than they have, so that the owner overcommits them.
    const bool shrunk = setup.flag("shrunk_capacity", false);
    const placement::resources capacity{setup.number("cpu", 4000), setup.number("memory", 8000), 0};
    const std::int64_t per_rack = setup.number("per_rack", 2);
    const std::int64_t worker_count = setup.number("workers", 4);
    // The last workers join with a restart_worker step.
    const std::int64_t first_later = worker_count - setup.number("later_workers", 0) + 1;
    for (std::int64_t i = 1; i <= worker_count; ++i) {
        const std::string id = numbered("w", i);
        auto& w = workers.try_emplace(id, id, capacity).first->second;
        w.alive = i < first_later;
        w.listed = w.alive;
        w.true_capacity = shrunk ? placement::resources{1000, 2000, 0} : capacity;
        w.listing.id = id;
        w.listing.region = "r";
        w.listing.place = "p";
        w.listing.rack = numbered("rack", (i - 1) / per_rack + 1);
        w.clock_offset_ms = static_cast<std::int64_t>(m_rng.below(1'000'000));
        w.clock_rate_permille = 995 + static_cast<std::int64_t>(m_rng.below(11));
        auto& faults = w.model.faults();
        faults.skip_epoch_check = setup.flag("skip_epoch_check", false);
        faults.skip_lease_end = setup.flag("skip_lease_end", false);
        faults.skip_capacity_check = setup.flag("skip_capacity_check", false);
        faults.store_lower_epoch = setup.flag("store_lower_epoch", false);
        faults.skip_start_validity = setup.flag("skip_start_validity", false);
    }
    if (setup.flag("skip_cas_check", false)) {
        m_store.cas_check = [](const store::kv_request&, const store::kv_entry*) { return true; };
    }
    for (std::int64_t i = 1; i <= setup.number("schedulers", 3); ++i) {
        start_scheduler(numbered("s", i));
    }
    send_heartbeats();
    publish_worker_list();
}

shard_engine_settings simulation::engine_settings(const std::string& id) {
    const auto& setup = m_script.setup;
    shard_engine_settings s;
    s.shard = "shard";
    s.self = id;
    s.claim_delay = milliseconds(150 * (id.back() - '1'));
    s.fleet.shard = s.shard;
    s.fleet.self = id;
    s.fleet.lease.drift_permille = setup.number("drift_permille", 10);
    s.fleet.gone_after = setup.time("gone_after", seconds(60));
    s.log.log.prefix = "shard";
    s.log.log.writer = id + "." + std::to_string(schedulers[id].generation);
    s.log.log.slots = static_cast<std::uint64_t>(setup.number("slots", 16));
    s.log.log.seed = m_script.seed;
    s.tasks.health.min_quarantine = setup.time("quarantine", seconds(30));
    s.max_waiting_entries = static_cast<std::size_t>(setup.number("max_waiting", 1000));
    return s;
}

void simulation::run_until(common::time_point end) {
    m_events.run_until(end, [this] { check_workers(); });
}

// Schedulers.

void simulation::start_scheduler(const std::string& id) {
    auto& s = schedulers[id];
    ++s.generation;
    s.paused = false;
    s.inbox.clear();
    s.wake_at.reset();
    s.open_tickets.clear();
    s.engine = std::make_unique<shard_engine>(engine_settings(id), s.counters);
    deliver(id, s.generation, [](shard_engine&) {});
}

void simulation::crash(const std::string& id) {
    auto& s = schedulers.at(id);
    s.engine.reset();
    ++s.generation;
    s.inbox.clear();
}

void simulation::pause(const std::string& id) {
    schedulers.at(id).paused = true;
}

void simulation::resume(const std::string& id) {
    auto& s = schedulers.at(id);
    s.paused = false;
    while (!s.inbox.empty() && s.engine) {
        const auto event = std::move(s.inbox.front());
        s.inbox.pop_front();
        event(*s.engine);
        process_engine(id);
    }
    if (s.engine) {
        process_engine(id);
    }
}

void simulation::drain(const std::string& id) {
    deliver(id, schedulers.at(id).generation,
            [this](shard_engine& engine) { engine.drain(now()); });
}

void simulation::deliver(const std::string& id, std::uint64_t generation,
                         const engine_event& event) {
    auto& s = schedulers.at(id);
    if (!s.engine || s.generation != generation) {
        return;
    }
    if (s.paused) {
        s.inbox.push_back(event);
        return;
    }
    event(*s.engine);
    process_engine(id);
}

void simulation::process_engine(const std::string& id) {
    auto& s = schedulers.at(id);
    s.engine->on_time(now());
    for (const auto& action : s.engine->take_actions()) {
        perform_action(id, action);
    }
    check_epochs();
    if (const auto next = s.engine->next_wakeup(now())) {
        const auto at = std::max(*next, now() + milliseconds(1));
        if (!s.wake_at || at < *s.wake_at || *s.wake_at <= now()) {
            s.wake_at = at;
            m_events.after(at - now(), [this, id, at, generation = s.generation] {
                auto& scheduler = schedulers.at(id);
                if (scheduler.generation == generation && scheduler.wake_at == at) {
                    wake(id);
                }
            });
        }
    }
}

void simulation::wake(const std::string& id) {
    auto& s = schedulers.at(id);
    s.wake_at.reset();
    deliver(id, s.generation, [](shard_engine&) {});
}

void simulation::perform_action(const std::string& id, const shard_action& action) {
    std::visit(
        common::overloaded{
            [&](const store::store_call& call) { call_store(id, call); },
            [&](const adopt_call& call) {
                call_worker(
                    id, call, call_timeout,
                    [request = call.request](fakes::worker_model& model, std::int64_t t) {
                        return model.adopt(t, request);
                    },
                    [](shard_engine& engine, common::time_point t, const adopt_call& c,
                       const adopt_result& result) {
                        engine.on_adopt(t, c.worker, c.call, result);
                    });
            },
            [&](const sync_call& call) {
                call_worker(
                    id, call, call_timeout,
                    [request = call.request](fakes::worker_model& model, std::int64_t t) {
                        return model.sync(t, request);
                    },
                    [](shard_engine& engine, common::time_point t, const sync_call& c,
                       const sync_result& result) { engine.on_sync(t, c.worker, c.call, result); });
            },
            [&](const events_call& call) { poll_events(id, call); },
            [&](const reply_action& r) { on_reply(id, r.ticket, r.reply); },
            [&](const ownership_changed& c) {
                trace(id, std::string(to_string(c.state)) + " epoch " + std::to_string(c.epoch) +
                              " " + std::string(c.reason));
            },
        },
        action);
}

void simulation::call_store(const std::string& id, const store::store_call& call) {
    const std::uint64_t generation = schedulers.at(id).generation;
    m_store.submit(schedulers.at(id).store_path, call.request,
                   [this, id, generation, number = call.id](const store::kv_response& response) {
                       deliver(id, generation, [this, number, response](shard_engine& engine) {
                           engine.on_store_response(now(), number, response);
                       });
                   });
}

// Network.

void simulation::transmit(const std::string& from, const std::string& to,
                          std::function<void()> deliver_message) {
    if (network.cuts.contains({from, to}) || m_rng.below(1000) < network.loss) {
        return;
    }
    const auto delay = [this] {
        const bool slow = m_rng.below(1000) < network.slow;
        return common::duration(1000 + m_rng.below(2000) + (slow ? m_rng.below(4'000'000) : 0));
    };
    if (m_rng.below(1000) < network.duplicate) {
        m_events.after(delay(), deliver_message);
    }
    m_events.after(delay(), std::move(deliver_message));
}

template <typename Call, typename Execute, typename Complete>
void simulation::call_worker(const std::string& id, const Call& call, common::duration timeout,
                             Execute execute, Complete complete) {
    const std::uint64_t generation = schedulers.at(id).generation;
    const auto answer = [this, id, generation, call, complete](const auto& result) {
        deliver(id, generation, [this, call, complete, result](shard_engine& engine) {
            complete(engine, now(), call, result);
        });
    };
    using result_type = decltype(execute(std::declval<fakes::worker_model&>(), 0));
    const auto& target = workers.at(call.worker);
    if (!target.alive) {
        m_events.after(milliseconds(1), [answer] {
            answer(result_type(worker_error{worker_error_kind::not_sent, 0}));
        });
        return;
    }
    m_events.after(timeout, [answer] {
        answer(result_type(worker_error{worker_error_kind::no_answer, 0}));
    });
    transmit(id, call.worker, [this, id, worker = call.worker, execute, answer] {
        auto& w = workers.at(worker);
        if (!w.alive || w.model.faults().silent) {
            return;
        }
        const result_type result = execute(w.model, worker_now(w));
        m_workers_changed = true;
        if (!w.model.faults().lose_answers) {
            const auto slow = milliseconds(w.model.faults().slow_by_ms);
            m_events.after(slow, [this, worker, id, answer, result] {
                transmit(worker, id, [answer, result] { answer(result); });
            });
        }
    });
}

void simulation::poll_events(const std::string& id, const events_call& call) {
    poll_worker(id, call, now() + call.max_wait, schedulers.at(id).generation);
}

/// Simulates the long poll by checking the worker every 20 ms.
void simulation::poll_worker(const std::string& id, const events_call& call,
                             common::time_point until, std::uint64_t generation) {
    auto& w = workers.at(call.worker);
    if (schedulers.at(id).generation != generation) {
        return;
    }
    const bool reachable = w.alive && !w.model.faults().silent &&
                           !network.cuts.contains({id, call.worker}) &&
                           !network.cuts.contains({call.worker, id});
    if (reachable) {
        w.model.advance(worker_now(w));
    }
    const bool has_events = reachable && w.model.last_event() > call.after;
    if (!has_events && now() < until) {
        m_events.after(milliseconds(20), [this, id, call, until, generation] {
            poll_worker(id, call, until, generation);
        });
        return;
    }
    events_result result = worker_error{worker_error_kind::no_answer, 0};
    if (reachable) {
        result = w.model.events(worker_now(w), call.after);
    }
    deliver(id, generation, [this, call, result](shard_engine& engine) {
        engine.on_events(now(), call.worker, call.call, result);
    });
}

void simulation::trace(const std::string& who, const std::string& what) const {
    if (m_script.setup.flag("trace", false)) {
        std::clog << common::to_milliseconds(now()) << "ms " << who << ": " << what << "\n";
    }
}

// Heartbeats and the worker list.

void simulation::send_heartbeats() {
    for (auto& [from, s] : schedulers) {
        if (!s.engine || s.paused) {
            continue;
        }
        const bool owns = s.engine->owns();
        const std::uint64_t epoch = s.engine->epoch();
        for (auto& [to, other] : schedulers) {
            if (to == from) {
                continue;
            }
            transmit(from, to, [this, from = from, to = to, owns, epoch] {
                deliver(to, schedulers.at(to).generation, [=, this](shard_engine& engine) {
                    if (owns) {
                        engine.on_owner_heartbeat(now(), from, epoch);
                    } else if (engine.owner_hint() == from) {
                        engine.on_owner_released(now(), from);
                    }
                });
            });
        }
    }
    check_reported_outcomes();
    m_events.after(heartbeat_interval, [this] { send_heartbeats(); });
}

void simulation::publish_worker_list() {
    std::vector<membership::instance> shown;
    for (auto& [id, w] : workers) {
        if (w.listed) {
            shown.push_back(w.listing);
        }
    }
    for (auto& [id, s] : schedulers) {
        deliver(id, s.generation,
                [this, shown](shard_engine& engine) { engine.on_worker_list(now(), shown); });
    }
    m_events.after(heartbeat_interval, [this] { publish_worker_list(); });
}

void simulation::mark_leaving(const std::string& id) {
    auto& w = workers.at(id);
    w.listing.state = membership::instance_state::leaving;
    w.leaving_since = now();
}

void simulation::kill_worker(const std::string& id) {
    auto& w = workers.at(id);
    w.model.restart();
    w.alive = false;
    // The worker list is updated with a delay.
    m_events.after(seconds(5), [this, id] { workers.at(id).listed = workers.at(id).alive; });
}

void simulation::restart_worker(const std::string& id) {
    auto& w = workers.at(id);
    w.model.restart();
    w.alive = true;
    w.listed = true;
}

std::int64_t simulation::worker_now(const simulated_worker& w) const {
    return w.clock_offset_ms + common::to_milliseconds(now()) * w.clock_rate_permille / 1000;
}

// Queries.

std::string simulation::owner() const {
    std::string found;
    std::uint64_t epoch = 0;
    for (const auto& [id, s] : schedulers) {
        if (s.engine && !s.paused && s.engine->owns() && s.engine->epoch() > epoch) {
            found = id;
            epoch = s.engine->epoch();
        }
    }
    return found;
}

const shard_engine* simulation::owner_engine() const {
    const std::string id = owner();
    return id.empty() ? nullptr : schedulers.at(id).engine.get();
}

std::size_t simulation::starts_of(const std::string& job) const {
    std::size_t count = 0;
    for (const auto& [task, starts] : m_starts) {
        if (split_task_id(task).job == job) {
            count += starts;
        }
    }
    return count;
}

std::size_t simulation::running_of(const std::string& job) {
    std::size_t count = 0;
    for (auto& [id, w] : workers) {
        w.model.advance(worker_now(w));
        for (const auto& task : w.model.running_tasks()) {
            count += split_task_id(task).job == job ? 1 : 0;
        }
    }
    return count;
}

std::int64_t simulation::counter(const std::string& name) const {
    std::int64_t sum = 0;
    for (const auto& [id, s] : schedulers) {
        const std::string page = "\n" + s.counters.render();
        const auto position = page.find("\nbuckthornspar_" + name + " ");
        if (position != std::string::npos) {
            sum += std::stoll(page.substr(page.find(' ', position)));
        }
    }
    return sum;
}

} // namespace buckthornspar::scenario
