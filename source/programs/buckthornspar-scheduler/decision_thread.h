#pragma once

#include "core/common/bounded_queue.h"
#include "core/peer/peer_messages.h"
#include "core/scheduling/shard_engine.h"
#include "core/scheduling/worker_client.h"
#include "core/store/kv_store.h"
#include "quota_sharing.h"
#include "scheduler_settings.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace buckthornspar::net {
class event_loop;
}

namespace buckthornspar::scheduler {

/// Snapshot of the state of one shard for other threads.
struct shard_view {
    std::string shard;
    bool owned = false;
    bool released = false;
    std::string owner_hint;
    peer::shard_load load;
};

/// Thread that runs the engines of all shards. It receives events through a bounded ring and
/// carries out store calls, worker calls and replies; results of calls are returned through the
/// same ring.
class decision_thread {
public:
    using job_completion = std::function<void(peer::job_reply)>;

    decision_thread(std::vector<scheduling::shard_engine_settings> shards,
                    quota_transport transport, std::size_t ring_capacity,
                    const common::clock& clock, common::counters& counters, net::event_loop& loop,
                    store::kv_store& store, scheduling::worker_client& workers);
    ~decision_thread();
    decision_thread(const decision_thread&) = delete;
    decision_thread& operator=(const decision_thread&) = delete;

    // Can be called from any thread.
    void job_call(peer::job_call call, const job_completion& complete);
    /// Workers of the shard according to the instance list.
    void on_worker_list(const std::string& shard, std::vector<membership::instance> workers);
    void on_owner_heartbeat(const std::string& shard, const std::string& owner,
                            std::uint64_t epoch);
    void on_owner_released(const std::string& shard, const std::string& owner);
    /// Message from another scheduler. It may be dropped when the ring is full, because its sender
    /// repeats it.
    void on_quota_message(const scheduling::quota_message& message);
    void set_policy(const scheduling::shard_policy& policy);
    void drain();
    void stop();

    [[nodiscard]] std::vector<shard_view> views() const;

private:
    struct shard {
        std::unique_ptr<scheduling::shard_engine> engine;
        std::map<std::uint64_t, job_completion> pending_replies;
    };
    using event = std::function<void(shard&, common::time_point)>;
    struct queued_event {
        std::string shard;
        event apply;
    };

    void run();
    void push_call_result(const std::string& shard, event apply);
    [[nodiscard]] bool push(const std::string& shard, event apply);
    void execute(const std::string& name, shard& s, const scheduling::shard_action& action);
    void call_store(const std::string& name, const store::store_call& call);
    void call_worker(const std::string& name, const scheduling::adopt_call& call);
    void call_worker(const std::string& name, const scheduling::sync_call& call);
    void call_worker(const std::string& name, const scheduling::events_call& call);
    void process_call(shard& s, common::time_point now, const peer::job_call& call,
                      job_completion complete);
    void publish_views();
    [[nodiscard]] quota_sharing::engine_map engines() const;
    [[nodiscard]] std::chrono::microseconds wait_time(common::time_point now) const;

    const common::clock& m_clock;
    common::counters& m_counters;
    net::event_loop& m_loop;
    store::kv_store& m_store;
    scheduling::worker_client& m_workers;
    common::bounded_queue<queued_event> m_ring;
    std::map<std::string, shard> m_shards;
    quota_sharing m_quotas;
    std::uint64_t m_next_ticket = 1;
    std::atomic<bool> m_stopped{false};
    mutable std::mutex m_views_mutex;
    std::vector<shard_view> m_views;
    std::thread m_thread;
};

} // namespace buckthornspar::scheduler
