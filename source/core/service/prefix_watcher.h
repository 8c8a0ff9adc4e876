#pragma once

#include "core/common/clock.h"
#include "core/dispatch/shared_store.h"
#include "core/net/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::service {

struct watch_settings {
    std::string prefix;
    /// Maximum time for which a watch call waits for events.
    common::duration watch_timeout = std::chrono::seconds(10);
    /// Delay between two watch calls, so that changes close together need only one call.
    common::duration min_watch_interval{0};
    /// Time that a full page of events takes over the node's link.
    common::duration page_time{0};
};

/// All items with a prefix.
struct prefix_contents {
    std::vector<dispatch::store_item> items;
    /// Revision of the first page, so that a watch from it misses no change, and when the call that
    /// read this page was sent.
    std::uint64_t revision = 0;
    common::time_point read_at;
};

/// Watches the keys with a prefix: reads them, then watches for events, and reads them again when
/// the store has dropped the history. All callbacks run on the event loop; none runs after stop().
class prefix_watcher : public std::enable_shared_from_this<prefix_watcher> {
public:
    struct listener {
        /// All items at this revision; replaces the items delivered before.
        std::function<void(std::vector<dispatch::store_item>, std::uint64_t)> on_snapshot;
        std::function<void(const std::vector<dispatch::store_event>&)> on_events;
    };

    prefix_watcher(dispatch::shared_store& store, net::event_loop& loop, watch_settings settings,
                   listener receiver);

    void start();
    /// Starts without the first read: the items at this revision, which were read by a call sent at
    /// the given time, are already known.
    void start_after(std::uint64_t revision, common::time_point read_at);
    void stop() { m_stopped = true; }
    /// Time since the last call was sent whose answer brought all changes: later ones may be
    /// unknown.
    [[nodiscard]] common::duration age() const { return m_clock.now() - m_current_at; }
    /// The last completed call failed within its time limit. A failure that is handled later does
    /// not count: an answer may have waited behind a busy event loop or a pause.
    [[nodiscard]] bool failing() const { return m_failing; }
    /// Abandons the pending call, which may hang, and sends a new one.
    void restart();
    /// Reads the items now, because a watch call may deliver a change late.
    void refresh();

private:
    void read();
    void read_after(const std::string& after);
    void watch();
    void on_page(dispatch::store_result result);
    void on_watch(const dispatch::store_result& result, common::time_point sent_at);
    [[nodiscard]] bool is_current(std::uint64_t call) const { return !m_stopped && call == m_call; }
    void call_after(common::duration delay, void (prefix_watcher::*step)());

    dispatch::shared_store& m_store;
    net::event_loop& m_loop;
    watch_settings m_settings;
    listener m_listener;
    std::vector<dispatch::store_item> m_items;
    std::uint64_t m_revision = 0;
    common::system_clock m_clock;
    common::time_point m_current_at = m_clock.now();
    /// Number of the last call; answers to earlier ones are ignored.
    std::uint64_t m_call = 0;
    /// When the running read of all items was begun.
    common::time_point m_read_at;
    /// All items are being read; the listener has not got them yet.
    bool m_reading = false;
    bool m_failing = false;
    bool m_last_call_failed = false;
    bool m_stopped = false;
};

/// Reads all items with a prefix, page by page. Failed pages are retried; stops without calling
/// complete once keep_reading() returns false.
void read_all(dispatch::shared_store& store, net::event_loop& loop, const std::string& prefix,
              std::function<bool()> keep_reading, std::function<void(prefix_contents)> complete);

} // namespace buckthornspar::service
