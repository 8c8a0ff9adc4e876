#pragma once

#include "core/common/counters.h"
#include "core/common/event_queue.h"
#include "core/common/rng.h"
#include "core/scheduling/shard_engine.h"
#include "fakes/fake_kv_store.h"
#include "fakes/worker_model.h"
#include "scenario/runner.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::scenario {

/// Network faults. The probabilities apply to each message, in thousandths.
struct network_faults {
    std::uint64_t loss = 0;
    std::uint64_t duplicate = 0;
    std::uint64_t slow = 0;
    /// Pairs (sender, receiver) between which all messages are lost.
    std::set<std::pair<std::string, std::string>> cuts;
};

struct simulated_worker {
    simulated_worker(const std::string& id, placement::resources capacity) : model(id, capacity) {}

    fakes::worker_model model;
    membership::instance listing;
    placement::resources true_capacity;
    /// The worker's clock has an offset, and its rate differs by up to 1 %.
    std::int64_t clock_offset_ms = 0;
    std::int64_t clock_rate_permille = 1000;
    bool alive = true;
    bool listed = true;
    std::optional<common::time_point> leaving_since;
    std::size_t starts_checked = 0;
    std::uint64_t highest_epoch = 0;
    std::uint64_t epoch_incarnation = 0;
};

struct simulated_scheduler {
    std::unique_ptr<scheduling::shard_engine> engine;
    common::counters counters;
    fakes::kv_faults store_path;
    bool paused = false;
    std::uint64_t generation = 0;
    std::deque<std::function<void(scheduling::shard_engine&)>> inbox;
    std::optional<common::time_point> wake_at;
    std::uint64_t highest_epoch = 0;
    std::set<std::uint64_t> open_tickets;
};

/// A submission or cancellation from the caller's side. It is repeated with the same id until a
/// reply arrives or the caller gives up.
struct caller_call {
    bool cancel = false;
    scheduling::job_spec job;
    common::time_point give_up_at;
    std::uint64_t attempt = 0;
    /// An attempt without a reply may have been executed.
    bool maybe_executed = false;
    std::optional<scheduling::job_reply> answer;
};

/// Schedulers, workers, store and callers of one shard under a virtual clock. After every event the
/// invariants of docs/design.md 1.1 are checked; a violated one throws violation.
class simulation {
public:
    explicit simulation(const script& s);

    void run_until(common::time_point end);
    [[nodiscard]] common::time_point now() const { return m_events.now(); }

    void submit(scheduling::job_spec job, common::duration retry_for);
    void cancel(const std::string& job);
    void start_scheduler(const std::string& id);
    void crash(const std::string& id);
    void pause(const std::string& id);
    void resume(const std::string& id);
    void drain(const std::string& id);
    void kill_worker(const std::string& id);
    void restart_worker(const std::string& id);
    void mark_leaving(const std::string& id);

    /// Id of the running scheduler that owns the shard with the highest epoch; empty if none.
    [[nodiscard]] std::string owner() const;
    [[nodiscard]] const scheduling::shard_engine* owner_engine() const;
    [[nodiscard]] std::size_t starts_of(const std::string& job) const;
    [[nodiscard]] std::size_t running_of(const std::string& job);
    [[nodiscard]] std::int64_t counter(const std::string& name) const;
    /// Checks the conditions at the end: no accepted job is lost or unfinished.
    void check_end(bool all_ended);

    std::map<std::string, simulated_worker> workers;
    std::map<std::string, simulated_scheduler> schedulers;
    std::vector<std::shared_ptr<caller_call>> calls;
    network_faults network;
    fakes::fake_kv_store& store() { return m_store; }

private:
    using engine_event = std::function<void(scheduling::shard_engine&)>;

    [[nodiscard]] scheduling::shard_engine_settings engine_settings(const std::string& id);
    void transmit(const std::string& from, const std::string& to, std::function<void()> deliver);
    void deliver(const std::string& id, std::uint64_t generation, const engine_event& event);
    void process_engine(const std::string& id);
    void wake(const std::string& id);
    void perform_action(const std::string& id, const scheduling::shard_action& action);
    void call_store(const std::string& id, const store::store_call& call);
    template <typename Call, typename Execute, typename Complete>
    void call_worker(const std::string& id, const Call& call, common::duration timeout,
                     Execute execute, Complete complete);
    void poll_events(const std::string& id, const scheduling::events_call& call);
    void poll_worker(const std::string& id, const scheduling::events_call& call,
                     common::time_point until, std::uint64_t generation);
    void send_heartbeats();
    void publish_worker_list();
    void attempt(const std::shared_ptr<caller_call>& call);
    void on_reply(const std::string& id, std::uint64_t ticket, const scheduling::job_reply& reply);
    [[nodiscard]] std::string choose_scheduler(std::uint64_t attempt) const;

    /// Prints a line if the setup of the script has trace: true.
    void trace(const std::string& who, const std::string& what) const;
    [[nodiscard]] std::int64_t worker_now(const simulated_worker& w) const;
    void check_workers();
    void check_starts(const std::string& id, simulated_worker& w);
    void check_single_execution();
    void check_epochs();
    void check_reported_outcomes();
    [[nodiscard]] bool is_idempotent(const std::string& task) const;

    script m_script;
    common::rng m_rng;
    common::event_queue m_events;
    fakes::fake_kv_store m_store;
    bool m_workers_changed = false;
    std::uint64_t m_next_ticket = 1;
    std::map<std::uint64_t, std::shared_ptr<caller_call>> m_tickets;
    std::map<std::string, std::size_t> m_starts;
    std::map<std::string, scheduling::job_spec> m_jobs;
};

} // namespace buckthornspar::scenario
