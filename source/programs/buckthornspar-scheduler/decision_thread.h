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

/// State of one shard as other threads may see it.
struct shard_view {
    std::string shard;
    bool owned = false;
    bool released = false;
    std::string owner_hint;
    peer::shard_load load;
};

/// The thread that runs the engines of all shards. Events reach it through a bounded ring; its
/// actions are store calls, worker calls and replies, whose results come back through the ring.
class decision_thread {
public:
    using job_completion = std::function<void(peer::job_reply)>;

    decision_thread(std::vector<scheduling::shard_engine_settings> shards, quota_links links,
                    std::size_t ring_capacity, const common::clock& clock,
                    common::counters& counters, net::event_loop& loop, store::kv_store& store,
                    scheduling::worker_client& workers);
    ~decision_thread();
    decision_thread(const decision_thread&) = delete;
    decision_thread& operator=(const decision_thread&) = delete;

    // From any thread.
    void job_call(peer::job_call call, const job_completion& complete);
    /// Workers of the shard as the instance list shows them.
    void list_shown(const std::string& shard, std::vector<membership::instance> workers);
    void owner_heard(const std::string& shard, const std::string& owner, std::uint64_t epoch);
    void owner_released(const std::string& shard, const std::string& owner);
    /// Messages of other schedulers; what is lost is repeated by its sender.
    void quota_message(const scheduling::quota_message& message);
    void policy_changed(const scheduling::shard_policy& policy);
    void drain();
    void stop();

    [[nodiscard]] std::vector<shard_view> views() const;

private:
    struct shard {
        std::unique_ptr<scheduling::shard_engine> engine;
        std::map<std::uint64_t, job_completion> waiting;
    };
    using event = std::function<void(shard&, common::time_point)>;
    struct queued_event {
        std::string shard;
        event apply;
    };

    void run();
    void push_result(const std::string& shard, event apply);
    [[nodiscard]] bool push(const std::string& shard, event apply);
    void carry_out(const std::string& name, shard& s, const scheduling::shard_action& action);
    void submit(const std::string& name, const store::store_call& call);
    void call(const std::string& name, const scheduling::adopt_call& call);
    void call(const std::string& name, const scheduling::sync_call& call);
    void call(const std::string& name, const scheduling::events_call& call);
    void serve(shard& s, common::time_point now, const peer::job_call& call,
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
