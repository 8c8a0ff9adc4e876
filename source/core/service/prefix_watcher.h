#pragma once

#include "core/dispatch/shared_store.h"
#include "core/net/event_loop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::service {

struct watch_settings {
    std::string prefix;
    /// Longest wait of a watch.
    common::duration watch_timeout = std::chrono::seconds(10);
    /// Shortest time between two watches: changes that come together cost one call.
    common::duration min_watch_interval{0};
};

/// Follows the keys with a prefix: reads them, then watches, and reads again when the store has
/// dropped the history. All callbacks run on the loop, none after stop().
class prefix_watcher : public std::enable_shared_from_this<prefix_watcher> {
public:
    struct listener {
        /// All keys at this revision; replaces what was known.
        std::function<void(std::vector<dispatch::store_item>, std::uint64_t)> on_snapshot;
        std::function<void(const std::vector<dispatch::store_event>&)> on_events;
    };

    prefix_watcher(dispatch::shared_store& store, net::event_loop& loop, watch_settings settings,
                   listener receiver);

    void start();
    /// The keys at the revision are known already.
    void start_after(std::uint64_t revision);
    void stop() { m_stopped = true; }
    /// Reads the keys now: a watch may hear nothing of a change for a while.
    void refresh();

private:
    void read();
    void read_after(const std::string& after);
    void watch();
    void on_page(dispatch::store_result result);
    void on_watch(const dispatch::store_result& result);
    void call_after(common::duration delay, void (prefix_watcher::*step)());

    dispatch::shared_store& m_store;
    net::event_loop& m_loop;
    watch_settings m_settings;
    listener m_listener;
    std::vector<dispatch::store_item> m_items;
    std::uint64_t m_revision = 0;
    bool m_stopped = false;
};

/// Reads all keys with a prefix. Repeats pages until they are read; gives up when keep_reading() is
/// false. The revision is that of the first page, so that a watch after it misses nothing.
void read_all(dispatch::shared_store& store, net::event_loop& loop, const std::string& prefix,
              std::function<bool()> keep_reading,
              std::function<void(std::vector<dispatch::store_item>, std::uint64_t)> complete);

} // namespace buckthornspar::service
