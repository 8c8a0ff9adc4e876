#pragma once

#include "core/common/counters.h"
#include "core/common/rng.h"
#include "core/scheduling/shard_engine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::bench {

struct shard_simulation_settings {
    std::size_t workers = 50;
    std::uint64_t seed = 1;
    placement::resources worker_capacity;
    common::duration store_latency = std::chrono::milliseconds(3);
    /// A worker's reply arrives after answer_latency plus a random part of answer_spread, so that
    /// the replies of many workers do not fall into one pass of the engine.
    common::duration answer_latency = std::chrono::microseconds(500);
    common::duration answer_spread = std::chrono::milliseconds(1);
    common::duration flush_interval = std::chrono::milliseconds(10);
};

/// Processor time and calls of the engine since the start of the simulation.
struct shard_usage {
    double processor_us = 0;
    std::uint64_t passes = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t adopt_calls = 0;
    std::uint64_t sync_calls = 0;
    std::uint64_t events_calls = 0;
    std::uint64_t starts = 0;

    [[nodiscard]] std::uint64_t worker_calls() const {
        return adopt_calls + sync_calls + events_calls;
    }
    [[nodiscard]] shard_usage operator-(const shard_usage& before) const;
};

/// Runs one scheduling::shard_engine under a virtual clock, in the same way as the scheduler's
/// decision thread, with simulated workers that accept every operation and an in-memory store. Only
/// the processor time of the engine itself is counted.
class shard_simulation {
public:
    explicit shard_simulation(shard_simulation_settings settings);

    /// Starts a scheduler that has the list of workers but no heartbeat of a shard owner.
    void start_scheduler(const std::string& id);
    /// Passes the heartbeat of an owner to the scheduler.
    void receive_owner_heartbeat(const std::string& owner, std::uint64_t epoch);
    /// Stops the scheduler without a hand-over, as a crash does. Returns the memory that its engine
    /// held, in bytes.
    std::size_t stop_scheduler();

    void submit(const scheduling::job_spec& job);
    void run_for(common::duration time);
    /// Runs until the condition holds after a pass. Returns false if it does not within the limit.
    [[nodiscard]] bool run_until(const std::function<bool()>& done, common::duration limit);

    [[nodiscard]] common::time_point now() const { return m_now; }
    [[nodiscard]] const shard_usage& usage() const { return m_usage; }
    [[nodiscard]] const scheduling::shard_engine& engine() const { return *m_engine; }
    [[nodiscard]] std::size_t running_tasks() const { return m_running_tasks; }
    /// Returns true if all workers have accepted the epoch of the current scheduler.
    [[nodiscard]] bool all_adopted() const;

private:
    using event = std::function<void()>;
    using engine_event = std::function<void(scheduling::shard_engine&)>;

    struct pending_poll {
        std::uint64_t call = 0;
        std::uint64_t after = 0;
    };
    struct simulated_worker {
        membership::instance listing;
        std::uint64_t accepted_epoch = 0;
        std::uint64_t last_event = 0;
        std::map<std::string, scheduling::inventory_task> held;
        std::map<std::uint64_t, scheduling::ended_attempt> ended;
        std::optional<pending_poll> poll;
    };

    void schedule_after(common::duration delay, event action);
    void deliver(common::duration delay, engine_event result);
    [[nodiscard]] common::duration worker_delay();
    [[nodiscard]] common::time_point next_event() const;
    void run_events_at(common::time_point now);
    void run_pass();

    void perform(const scheduling::shard_action& action);
    void call(const store::store_call& call);
    void call(const scheduling::adopt_call& call);
    void call(const scheduling::sync_call& call);
    void call(const scheduling::events_call& call);
    [[nodiscard]] store::kv_response execute(const store::kv_request& request);
    void execute(simulated_worker& worker, const scheduling::worker_operation& operation);
    void end_task(simulated_worker& worker, const std::string& attempt);
    void answer_poll(simulated_worker& worker);
    [[nodiscard]] std::vector<scheduling::ended_attempt>
    ended_after(const simulated_worker& worker, std::uint64_t event_number) const;
    [[nodiscard]] std::int64_t stamp() const { return common::to_milliseconds(m_now); }

    shard_simulation_settings m_settings;
    common::rng m_random;
    common::time_point m_now{};
    std::multimap<common::time_point, event> m_events;
    std::vector<engine_event> m_inbox;
    std::map<std::string, simulated_worker> m_workers;
    std::map<std::string, store::kv_entry> m_store;
    std::uint64_t m_store_index = 0;
    std::size_t m_running_tasks = 0;
    std::unique_ptr<common::counters> m_counters;
    std::unique_ptr<scheduling::shard_engine> m_engine;
    /// Incremented for each scheduler; replies to an earlier one are dropped.
    std::uint64_t m_generation = 0;
    common::time_point m_wake_at;
    common::time_point m_next_view;
    shard_usage m_usage;
};

} // namespace buckthornspar::bench
