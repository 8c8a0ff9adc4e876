#include "core/service/prefix_watcher.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::service {

using dispatch::store_result;
using dispatch::store_status;

namespace {

// Delay before a failed store call is retried.
constexpr auto retry_delay = std::chrono::milliseconds(150);
// The store answers a watch that is far behind in pages, of about 500 items or 1 MB, without saying
// so. An answer with at least this many events may be such a page and does not bring all changes.
constexpr std::size_t possible_page_events = 100;
// Watch calls fail within 0.6 s, or the time that a page takes over a narrow link, after the time
// for which they wait.
constexpr common::duration max_failure_delay = std::chrono::milliseconds(900);
constexpr common::duration max_failure_slack = std::chrono::milliseconds(300);

struct prefix_reader : std::enable_shared_from_this<prefix_reader> {
    prefix_reader(dispatch::shared_store& s, net::event_loop& l) : store(s), loop(l) {}

    void next() {
        if (!keep_reading()) {
            return;
        }
        auto& items = contents.items;
        const auto after = items.empty() ? std::string() : items.back().key;
        const auto sent_at = clock.now();
        store.range(prefix, after, [self = shared_from_this(), sent_at](store_result result) {
            self->on_page(std::move(result), sent_at);
        });
    }

    void on_page(store_result result, common::time_point sent_at) {
        if (result.status != store_status::ok) {
            loop.post_after(retry_delay, [self = shared_from_this()] { self->next(); });
            return;
        }
        if (contents.revision == 0) {
            contents.revision = result.revision;
            contents.read_at = sent_at;
        }
        for (auto& item : result.items) {
            contents.items.push_back(std::move(item));
        }
        if (result.more && !result.items.empty()) {
            next();
            return;
        }
        if (keep_reading()) {
            complete(std::move(contents));
        }
    }

    dispatch::shared_store& store;
    net::event_loop& loop;
    std::string prefix;
    std::function<bool()> keep_reading;
    std::function<void(prefix_contents)> complete;
    prefix_contents contents;
    common::system_clock clock;
};

} // namespace

void read_all(dispatch::shared_store& store, net::event_loop& loop, const std::string& prefix,
              std::function<bool()> keep_reading, std::function<void(prefix_contents)> complete) {
    const auto read = std::make_shared<prefix_reader>(store, loop);
    read->prefix = prefix;
    read->keep_reading = std::move(keep_reading);
    read->complete = std::move(complete);
    read->next();
}

prefix_watcher::prefix_watcher(dispatch::shared_store& store, net::event_loop& loop,
                               watch_settings settings, listener receiver)
    : m_store(store),
      m_loop(loop),
      m_settings(std::move(settings)),
      m_listener(std::move(receiver)) {}

void prefix_watcher::start() {
    read();
}

void prefix_watcher::start_after(std::uint64_t revision, common::time_point read_at) {
    m_revision = revision;
    m_current_at = read_at;
    watch();
}

void prefix_watcher::refresh() {
    m_store.range(m_settings.prefix, "", [self = shared_from_this()](store_result result) {
        // The running watch continues from its own revision, and may have delivered later changes
        // than those of a read that was answered late.
        if (!self->m_stopped && result.status == store_status::ok &&
            result.revision >= self->m_revision) {
            self->m_listener.on_snapshot(std::move(result.items), result.revision);
        }
    });
}

// A read of several pages begins anew: a watch from its first page would bring none of the changes
// that made the read necessary.
void prefix_watcher::restart() {
    if (m_reading) {
        read();
    } else {
        watch();
    }
}

void prefix_watcher::call_after(common::duration delay, void (prefix_watcher::*step)()) {
    m_loop.post_after(delay, [self = shared_from_this(), step, call = m_call] {
        if (self->is_current(call)) {
            ((*self).*step)();
        }
    });
}

void prefix_watcher::read() {
    m_items.clear();
    m_reading = true;
    m_revision = 0;
    m_read_at = m_clock.now();
    read_after("");
}

void prefix_watcher::read_after(const std::string& after) {
    m_store.range(m_settings.prefix, after,
                  [self = shared_from_this(), call = ++m_call](store_result result) {
                      if (self->is_current(call)) {
                          self->on_page(std::move(result));
                      }
                  });
}

void prefix_watcher::on_page(store_result result) {
    m_last_call_failed = result.status != store_status::ok;
    m_failing = m_last_call_failed;
    if (m_last_call_failed) {
        m_revision = 0;
        call_after(retry_delay, &prefix_watcher::read);
        return;
    }
    if (m_revision == 0) {
        m_revision = result.revision;
    }
    const bool more = result.more && !result.items.empty();
    for (auto& item : result.items) {
        m_items.push_back(std::move(item));
    }
    if (more) {
        read_after(m_items.back().key);
        return;
    }
    m_reading = false;
    m_current_at = m_read_at;
    m_listener.on_snapshot(std::exchange(m_items, {}), m_revision);
    if (!m_stopped) {
        watch();
    }
}

// A call after a failed one does not wait for changes: it only shows whether there are any, and so
// ends the time in which the information may be old.
void prefix_watcher::watch() {
    const auto wait = m_last_call_failed ? common::duration(0) : m_settings.watch_timeout;
    m_store.watch(m_settings.prefix, m_revision, wait,
                  [self = shared_from_this(), call = ++m_call,
                   sent_at = m_clock.now()](const store_result& result) {
                      if (self->is_current(call)) {
                          self->on_watch(result, sent_at);
                      }
                  });
}

void prefix_watcher::on_watch(const store_result& result, common::time_point sent_at) {
    m_last_call_failed =
        result.status != store_status::ok && result.status != store_status::history_gone;
    m_failing = m_last_call_failed &&
                m_clock.now() - sent_at <
                    m_settings.watch_timeout +
                        std::max(max_failure_delay, m_settings.page_time + max_failure_slack);
    if (result.status == store_status::history_gone) {
        read();
        return;
    }
    if (m_last_call_failed) {
        call_after(retry_delay, &prefix_watcher::watch);
        return;
    }
    m_revision = std::max(m_revision, result.revision);
    const bool complete = result.events.size() < possible_page_events;
    if (complete) {
        m_current_at = sent_at;
    }
    if (!result.events.empty()) {
        m_listener.on_events(result.events);
    }
    if (m_stopped) {
        return;
    }
    if (complete && m_settings.min_watch_interval > common::duration(0)) {
        call_after(m_settings.min_watch_interval, &prefix_watcher::watch);
        return;
    }
    watch();
}

} // namespace buckthornspar::service
