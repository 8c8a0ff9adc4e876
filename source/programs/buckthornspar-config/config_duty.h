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

/// What the duty needs of the rest of the process. All hooks are called on the duty's thread.
struct duty_hooks {
    /// A version has come into force.
    std::function<void(const config::version_advanced&)> on_version;
    /// Whether this process watches the store for its region now.
    std::function<bool()> is_watcher;
    /// Highest version that is known in this process, also from peers.
    std::function<std::uint64_t()> known_version;
};

/// Runs the config service and its store calls on a thread of its own.
class config_duty {
public:
    using answer_callback = std::function<void(const config::patch_answer&)>;
    using history_reader = std::function<void(const config::config_history&)>;

    config_duty(config::config_service_options options, store::kv_store& store,
                const common::clock& clock, common::counters& counters, duty_hooks hooks);
    ~config_duty();
    config_duty(const config_duty&) = delete;
    config_duty& operator=(const config_duty&) = delete;

    void start();

    /// Calls back once, on the duty's thread. Returns false, without effect, when too many calls
    /// are open. May be called from any thread.
    [[nodiscard]] bool submit(config::patch p, answer_callback complete);

    /// Lets the reader see the history up to the highest version known in this process, or what
    /// there is when the store does not answer in time. Otherwise as submit().
    [[nodiscard]] bool read_history(history_reader read);

    /// Calls that have not been answered.
    [[nodiscard]] std::size_t open_calls() const { return m_open_calls; }
    /// The log has been read once.
    [[nodiscard]] bool loaded() const { return m_loaded; }

private:
    struct submission {
        config::patch request;
        answer_callback complete;
    };
    struct history_read {
        history_reader read;
        common::time_point deadline;
    };
    struct store_answer {
        std::uint64_t call = 0;
        store::kv_response response;
    };
    using event = std::variant<submission, history_read, store_answer>;
    using event_ring = common::bounded_queue<event>;

    void run();
    void take(common::time_point now, event e);
    void run_actions();
    void call_store(const store::store_call& call);
    void serve_reads(common::time_point now);
    void follow_rules(common::time_point now);
    [[nodiscard]] bool push_call(event e);
    [[nodiscard]] common::duration wait_time(common::time_point now) const;

    store::kv_store& m_store;
    const common::clock& m_clock;
    duty_hooks m_hooks;
    config::config_service m_service;
    /// Shared with the store calls in flight, which can end after the duty.
    std::shared_ptr<event_ring> m_events;
    std::map<std::uint64_t, answer_callback> m_waiting;
    std::vector<history_read> m_reads;
    std::uint64_t m_next_ticket = 1;
    common::time_point m_next_rules{};
    common::time_point m_started{};
    common::time_point m_next_refresh{};
    bool m_watching = false;
    std::atomic<std::size_t> m_open_calls{0};
    std::atomic<bool> m_loaded{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace buckthornspar::config_server
