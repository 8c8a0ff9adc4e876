#pragma once

#include "core/common/event_queue.h"
#include "core/store/kv_store.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::fakes {

/// Faults of the store or of the connection of one client. All can be changed at any time.
struct kv_faults {
    /// Requests fail at once as unavailable and are not executed.
    bool down = false;
    /// Requests are executed, but the response is lost: the client gets unknown after its timeout.
    bool lose_answers = false;
    /// Additional time before a request is executed. If it exceeds the client's timeout, the client
    /// gets unknown first and the request still takes effect later.
    common::duration delay{0};
};

/// In-memory key-value store driven by a virtual clock.
class fake_kv_store {
public:
    explicit fake_kv_store(common::event_queue& events) : m_events(events) {}

    kv_faults faults;
    common::duration latency = std::chrono::milliseconds(2);
    common::duration client_timeout = std::chrono::milliseconds(500);
    /// Replaces the index check of compare-and-swap, to verify that the tests detect a wrong check.
    std::function<bool(const store::kv_request&, const store::kv_entry*)> cas_check;
    /// Called after each write that took effect.
    std::function<void(const store::kv_entry&)> on_write;
    std::map<store::kv_operation, std::uint64_t> calls;

    [[nodiscard]] const std::map<std::string, store::kv_entry>& entries() const {
        return m_entries;
    }

    /// Submits a request of a client whose connection has its own faults. `path` must outlive the
    /// pending events of the store.
    void submit(const kv_faults& path, const store::kv_request& request,
                store::kv_completion complete) {
        ++calls[request.operation];
        if (faults.down || path.down) {
            m_events.after(latency, [complete = std::move(complete)] {
                complete({store::kv_status::unavailable, {}, 0});
            });
            return;
        }
        const auto completion = std::make_shared<store::kv_completion>(std::move(complete));
        m_events.after(client_timeout + request.max_wait,
                       [completion] { answer(completion, unknown()); });
        const bool lost = faults.lose_answers || path.lose_answers;
        m_events.after(latency + faults.delay + path.delay,
                       [this, completion, lost, request, &path] {
                           execute(request, {lost ? nullptr : completion, &path});
                       });
    }

    /// Executes a request immediately, for tests that use no clock.
    store::kv_response apply(const store::kv_request& request) {
        const auto position = m_entries.find(request.key);
        store::kv_entry* const entry = position == m_entries.end() ? nullptr : &position->second;
        switch (request.operation) {
        case store::kv_operation::list:
            return list(request.key);
        case store::kv_operation::get:
        case store::kv_operation::watch:
            return entry == nullptr
                       ? store::kv_response{store::kv_status::not_found, {}, m_index}
                       : store::kv_response{store::kv_status::ok, {*entry}, entry->modify_index};
        case store::kv_operation::put_if:
        case store::kv_operation::delete_if:
            return write(request, entry);
        }
        return unknown();
    }

private:
    using shared_completion = std::shared_ptr<store::kv_completion>;
    /// Receiver of a response. The response is lost if the connection is down when it is sent.
    struct receiver {
        shared_completion complete;
        const kv_faults* path;
    };
    struct waiting_watch {
        store::kv_request request;
        receiver to;
    };

    static store::kv_response unknown() { return {store::kv_status::unknown, {}, 0}; }

    static void answer(const shared_completion& complete, store::kv_response response) {
        if (complete && *complete) {
            std::exchange(*complete, nullptr)(std::move(response));
        }
    }

    void reply(const receiver& to, const store::kv_response& response) {
        if (!faults.down && !to.path->down) {
            m_events.after(latency, [to, response] { answer(to.complete, response); });
        }
    }

    void execute(const store::kv_request& request, const receiver& to) {
        if (request.operation == store::kv_operation::watch && !is_due(request)) {
            m_watches.push_back({request, to});
            const auto position = std::prev(m_watches.end());
            m_events.after(request.max_wait, [this, position] { end_watch(position); });
            return;
        }
        reply(to, apply(request));
    }

    [[nodiscard]] bool is_due(const store::kv_request& watch) const {
        const auto position = m_entries.find(watch.key);
        const auto index = position == m_entries.end() ? m_index : position->second.modify_index;
        return watch.known_index == 0 || (position != m_entries.end() && index > watch.known_index);
    }

    void end_watch(std::list<waiting_watch>::iterator position) {
        reply(position->to, apply(position->request));
        m_watches.erase(position);
    }

    store::kv_response list(const std::string& prefix) const {
        store::kv_response response{store::kv_status::ok, {}, m_index};
        for (auto at = m_entries.lower_bound(prefix);
             at != m_entries.end() && at->first.starts_with(prefix); ++at) {
            response.entries.push_back(at->second);
        }
        return response;
    }

    store::kv_response write(const store::kv_request& request, const store::kv_entry* entry) {
        const std::uint64_t index = entry == nullptr ? 0 : entry->modify_index;
        const bool matches =
            cas_check ? cas_check(request, entry) : index == request.expected_index;
        if (!matches) {
            return {store::kv_status::conflict, {}, m_index};
        }
        if (request.operation == store::kv_operation::delete_if) {
            m_entries.erase(request.key);
            return {store::kv_status::ok, {}, ++m_index};
        }
        const store::kv_entry written{request.key, request.value, ++m_index};
        m_entries[request.key] = written;
        answer_watches(request.key);
        if (on_write) {
            on_write(written);
        }
        // Like the real store, a write does not return the new index.
        return {store::kv_status::ok, {}, 0};
    }

    void answer_watches(const std::string& key) {
        for (const auto& watch : m_watches) {
            if (watch.request.key == key) {
                reply(watch.to, apply(watch.request));
            }
        }
    }

    common::event_queue& m_events;
    std::map<std::string, store::kv_entry> m_entries;
    std::list<waiting_watch> m_watches;
    std::uint64_t m_index = 1;
};

} // namespace buckthornspar::fakes
