#pragma once

#include "core/common/bounded_queue.h"
#include "core/common/clock.h"
#include "core/config/config_service.h"
#include "core/store/kv_store.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <variant>
#include <vector>

namespace buckthornspar::config_server {

/// Callbacks into the rest of the process. All of them are called on the service thread.
struct config_service_hooks {
    /// A version has come into force.
    std::function<void(const config::version_advanced&)> on_version;
    /// Whether this process is currently the watcher of its region.
    std::function<bool()> is_watcher;
    /// Highest version known in this process, including versions received from peers.
    std::function<std::uint64_t()> known_version;
};

/// Runs the config service on a dedicated thread and carries out its store calls.
class config_service_thread {
public:
    using result_callback = std::function<void(const config::patch_result&)>;
    using history_reader = std::function<void(const config::config_history&)>;

    config_service_thread(config::config_service_options options, store::kv_store& store,
                          const common::clock& clock, common::counters& counters,
                          config_service_hooks hooks);
    ~config_service_thread();
    config_service_thread(const config_service_thread&) = delete;
    config_service_thread& operator=(const config_service_thread&) = delete;

    void start();

    /// Calls back exactly once, on the service thread. Returns false, without effect, if too many
    /// calls are pending. Thread-safe.
    [[nodiscard]] bool submit(config::patch p, result_callback complete);

    /// Calls the reader with the history up to the highest version known in this process, or with
    /// the history read so far if the store does not respond in time. Otherwise like submit().
    [[nodiscard]] bool read_history(history_reader read);

    /// Number of calls without a result.
    [[nodiscard]] std::size_t open_calls() const { return m_open_calls; }
    /// The log has been read at least once.
    [[nodiscard]] bool loaded() const { return m_loaded; }

private:
    struct submission {
        config::patch request;
        result_callback complete;
    };
    struct history_read {
        history_reader read;
        common::time_point deadline;
    };
    struct store_response {
        std::uint64_t call = 0;
        store::kv_response response;
    };
    using event = std::variant<submission, history_read, store_response>;
    using event_ring = common::bounded_queue<event>;

    void run();
    void process_event(common::time_point now, event e);
    void run_actions();
    void call_store(const store::store_call& call);
    void log_store_change();
    void complete_reads(common::time_point now);
    void update_watcher(common::time_point now);
    [[nodiscard]] bool push_call(event e);
    [[nodiscard]] common::duration wait_time(common::time_point now) const;

    store::kv_store& m_store;
    const common::clock& m_clock;
    config_service_hooks m_hooks;
    config::config_service m_service;
    /// Shared with store calls in flight, which can outlive this object.
    std::shared_ptr<event_ring> m_events;
    std::map<std::uint64_t, result_callback> m_callbacks;
    std::vector<history_read> m_reads;
    std::uint64_t m_next_ticket = 1;
    common::time_point m_next_watcher_check{};
    common::time_point m_started{};
    common::time_point m_next_refresh{};
    bool m_watching = false;
    bool m_store_available = true;
    std::atomic<std::size_t> m_open_calls{0};
    std::atomic<bool> m_loaded{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace buckthornspar::config_server
