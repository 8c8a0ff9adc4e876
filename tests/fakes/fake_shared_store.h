#pragma once

#include "core/dispatch/shared_store.h"
#include "core/net/event_loop.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::fakes {

/// In-memory implementation of the shared store on one event loop. Responses are delivered on the
/// loop after `delay`. Commits and leases follow the store's contract, except that leases expire
/// only when leases_expire is set; otherwise they end only by end_lease().
class fake_shared_store final : public dispatch::shared_store {
public:
    explicit fake_shared_store(net::event_loop& loop) : m_loop(loop) {}

    /// Called before each commit is applied. Any status but ok is returned to the caller and the
    /// commit is not applied.
    std::function<dispatch::store_status(const dispatch::store_commit&)> on_commit;
    common::duration delay{0};
    unsigned commits = 0;
    bool reads_fail = false;
    bool renewals_fail = false;
    /// Watches complete as unknown.
    bool fail_watches = false;
    /// No call is answered: reads, watches, commits, renewals and ends of leases complete as
    /// unknown.
    bool fail_calls = false;
    /// Watches of this prefix complete as unknown.
    std::string unanswered_watch_prefix;
    /// Leases that are not renewed in time end with their keys.
    bool leases_expire = false;
    unsigned renewals = 0;
    /// Number of pages of ranges that were read.
    unsigned ranges = 0;
    /// Maximum number of events in the answer to a watch.
    std::size_t page_events = 100'000;
    /// Maximum number of items in a page of a range.
    std::size_t page_items = 100'000;

    void read(const std::string& key, dispatch::store_completion complete) override {
        dispatch::store_result result;
        if (reads_fail || fail_calls) {
            result.status = dispatch::store_status::unknown;
            answer(std::move(complete), std::move(result));
            return;
        }
        const auto position = m_items.find(key);
        result.status = position == m_items.end() ? dispatch::store_status::not_found
                                                  : dispatch::store_status::ok;
        if (position != m_items.end()) {
            result.items.push_back(position->second.item);
            // A refusal has no body from which a client could read the store's revision.
            result.revision = m_revision;
        }
        answer(std::move(complete), std::move(result));
    }

    void range(const std::string& prefix, const std::string& after,
               dispatch::store_completion complete) override {
        ++ranges;
        dispatch::store_result result;
        result.status = dispatch::store_status::ok;
        for (const auto& [key, stored] : m_items) {
            if (!key.starts_with(prefix) || key <= after) {
                continue;
            }
            if (result.items.size() == page_items) {
                result.more = true;
                break;
            }
            result.items.push_back(stored.item);
        }
        result.revision = m_revision;
        answer(std::move(complete), std::move(result));
    }

    void watch(const std::string& prefix, std::uint64_t after, common::duration wait,
               dispatch::store_completion complete) override {
        if (fail_calls || fail_watches || prefix == unanswered_watch_prefix) {
            answer_after(wait, std::move(complete), {});
            return;
        }
        if (after < m_history_start) {
            answer(std::move(complete),
                   {dispatch::store_status::history_gone, {}, {}, false, 0, 0});
            return;
        }
        m_watches.push_back({prefix, after, std::move(complete)});
        const auto id = ++m_last_watch_id;
        m_watches.back().id = id;
        notify_watches();
        m_loop.post_after(wait, [this, id] { end_watch(id); });
    }

    void commit(const dispatch::store_commit& change,
                dispatch::store_completion complete) override {
        ++commits;
        if (fail_calls) {
            answer(std::move(complete), {});
            return;
        }
        const auto commit_status = on_commit ? on_commit(change) : dispatch::store_status::ok;
        if (commit_status != dispatch::store_status::ok) {
            answer(std::move(complete), {commit_status, {}, {}, false, 0, 0});
            return;
        }
        answer(std::move(complete), apply(change));
    }

    void open_lease(common::duration ttl, dispatch::store_completion complete) override {
        dispatch::store_result result;
        result.status = dispatch::store_status::ok;
        result.lease = ++m_last_lease;
        m_leases[result.lease].ttl = ttl;
        extend_lease(result.lease);
        answer(std::move(complete), std::move(result));
    }

    void keep_lease(std::uint64_t lease, dispatch::store_completion complete) override {
        ++renewals;
        if (fail_calls) {
            answer(std::move(complete), {});
            return;
        }
        if (renewals_fail) {
            answer(std::move(complete), {dispatch::store_status::unavailable, {}, {}, false, 0, 0});
            return;
        }
        end_lease_if_expired(lease);
        if (!m_leases.contains(lease)) {
            answer(std::move(complete), {dispatch::store_status::not_found, {}, {}, false, 0, 0});
            return;
        }
        extend_lease(lease);
        answer(std::move(complete), {dispatch::store_status::ok, {}, {}, false, 0, 0});
    }

    void end_lease(std::uint64_t lease, dispatch::store_completion complete) override {
        if (fail_calls) {
            answer(std::move(complete), {});
            return;
        }
        remove_lease(lease);
        answer(std::move(complete), {dispatch::store_status::ok, {}, {}, false, 0, 0});
    }

    /// Applies a commit immediately. Tests also use it to apply a commit whose caller got an error.
    dispatch::store_result apply(const dispatch::store_commit& change) {
        dispatch::store_result result;
        for (const auto& row : change.expect) {
            const auto position = m_items.find(row.key);
            const auto revision = position == m_items.end() ? 0 : position->second.item.revision;
            if (revision != row.revision) {
                result.status = dispatch::store_status::conflict;
            }
            if (position != m_items.end()) {
                result.items.push_back(position->second.item);
            }
        }
        if (result.status == dispatch::store_status::conflict) {
            return result;
        }
        for (const auto& row : change.put) {
            if (row.lease != 0 && !m_leases.contains(row.lease)) {
                return {dispatch::store_status::not_found, {}, {}, false, 0, 0};
            }
        }
        ++m_revision;
        for (const auto& row : change.put) {
            auto& stored = m_items[row.key];
            stored.lease = row.lease;
            stored.item.key = row.key;
            stored.item.value = row.value;
            stored.item.revision = m_revision;
            stored.item.created = stored.item.created == 0 ? m_revision : stored.item.created;
            m_history.push_back({stored.item, false});
        }
        for (const auto& key : change.remove) {
            if (m_items.erase(key) > 0) {
                record_removal(key);
            }
        }
        result = {};
        result.status = dispatch::store_status::ok;
        result.revision = m_revision;
        notify_watches();
        return result;
    }

    void remove(const std::string& key) {
        ++m_revision;
        m_items.erase(key);
        record_removal(key);
        notify_watches();
    }

    /// Only so many further answers to watches of this prefix are delivered; the others wait.
    void limit_watch_answers(const std::string& prefix, std::size_t count) {
        m_limited_prefix = prefix;
        m_answers_left = count;
        for (auto& held : std::exchange(m_held, {})) {
            answer_watch(prefix, std::move(held.first), std::move(held.second));
        }
    }
    void release_watches() { limit_watch_answers(m_limited_prefix, unlimited); }

    void drop_history() {
        m_history.clear();
        m_history_start = m_revision;
    }

    [[nodiscard]] bool has(const std::string& key) const { return m_items.contains(key); }
    [[nodiscard]] std::string value_of(const std::string& key) const {
        return m_items.at(key).item.value;
    }

private:
    struct stored_item {
        dispatch::store_item item;
        std::uint64_t lease = 0;
    };
    struct waiting_watch {
        std::string prefix;
        std::uint64_t after = 0;
        dispatch::store_completion complete;
        std::uint64_t id = 0;
    };

    struct open_lease_state {
        common::duration ttl{0};
        common::time_point expires;
    };

    void extend_lease(std::uint64_t lease) {
        auto& state = m_leases[lease];
        state.expires = m_clock.now() + state.ttl;
        m_loop.post_after(state.ttl, [this, lease] { end_lease_if_expired(lease); });
    }

    void end_lease_if_expired(std::uint64_t lease) {
        const auto position = m_leases.find(lease);
        if (leases_expire && position != m_leases.end() &&
            m_clock.now() >= position->second.expires) {
            remove_lease(lease);
        }
    }

    void remove_lease(std::uint64_t lease) {
        m_leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto& [key, stored] : m_items) {
            if (stored.lease == lease) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove(key);
        }
    }

    void record_removal(const std::string& key) {
        dispatch::store_event event;
        event.removed = true;
        event.item.key = key;
        event.item.revision = m_revision;
        m_history.push_back(event);
    }

    void answer(dispatch::store_completion complete, dispatch::store_result result) {
        answer_after(delay, std::move(complete), std::move(result));
    }

    void answer_after(common::duration time, dispatch::store_completion complete,
                      dispatch::store_result result) {
        // Shared, because the loop copies tasks; a real answer is not copied either.
        auto shared = std::make_shared<dispatch::store_result>(std::move(result));
        m_loop.post_after(
            time, [complete = std::move(complete), shared] { complete(std::move(*shared)); });
    }

    void notify_watches() {
        if (fail_calls || fail_watches) {
            return;
        }
        std::vector<waiting_watch> left;
        for (auto& watch : std::exchange(m_watches, {})) {
            dispatch::store_result result;
            result.status = dispatch::store_status::ok;
            result.revision = m_revision;
            for (const auto& event : m_history) {
                if (event.item.revision > watch.after && event.item.key.starts_with(watch.prefix)) {
                    if (result.events.size() == page_events) {
                        result.revision = result.events.back().item.revision;
                        break;
                    }
                    result.events.push_back(event);
                }
            }
            if (result.events.empty()) {
                left.push_back(std::move(watch));
            } else {
                answer_watch(watch.prefix, std::move(watch.complete), std::move(result));
            }
        }
        m_watches = std::move(left);
    }

    void end_watch(std::uint64_t id) {
        const auto position =
            std::find_if(m_watches.begin(), m_watches.end(),
                         [id](const waiting_watch& watch) { return watch.id == id; });
        if (position == m_watches.end()) {
            return;
        }
        auto complete = std::move(position->complete);
        const auto prefix = position->prefix;
        m_watches.erase(position);
        if (fail_calls || fail_watches) {
            answer(std::move(complete), {});
            return;
        }
        answer_watch(prefix, std::move(complete),
                     {dispatch::store_status::ok, {}, {}, false, m_revision, 0});
    }

    void answer_watch(const std::string& prefix, dispatch::store_completion complete,
                      dispatch::store_result result) {
        if (prefix == m_limited_prefix) {
            if (m_answers_left == 0) {
                m_held.emplace_back(std::move(complete), std::move(result));
                return;
            }
            --m_answers_left;
        }
        answer(std::move(complete), std::move(result));
    }

    static constexpr std::size_t unlimited = std::size_t{1} << 40U;

    net::event_loop& m_loop;
    std::map<std::string, stored_item> m_items;
    std::vector<dispatch::store_event> m_history;
    std::vector<waiting_watch> m_watches;
    std::string m_limited_prefix;
    std::size_t m_answers_left = unlimited;
    std::vector<std::pair<dispatch::store_completion, dispatch::store_result>> m_held;
    std::uint64_t m_last_watch_id = 0;
    std::uint64_t m_revision = 1;
    std::uint64_t m_history_start = 0;
    std::uint64_t m_last_lease = 100;
    common::system_clock m_clock;
    std::map<std::uint64_t, open_lease_state> m_leases;
};

} // namespace buckthornspar::fakes
