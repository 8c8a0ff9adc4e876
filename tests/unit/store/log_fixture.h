#pragma once

#include "core/store/sequenced_log.h"
#include "fakes/fake_kv_store.h"

#include <map>
#include <string>
#include <vector>

namespace buckthornspar::store {

/// One writer with its log and its own path to the store.
struct log_client {
    log_client(common::event_queue& e, fakes::fake_kv_store& s, sequenced_log_options options)
        : events(e), kv(s), log(std::move(options), counts) {}

    void pump() {
        for (auto& action : log.take_actions()) {
            if (auto* const call = std::get_if<store_call>(&action)) {
                kv.submit(path, call->request, [this, id = call->id](const kv_response& response) {
                    log.on_response(events.now(), id, response);
                    pump();
                });
            } else if (auto* const snapshot = std::get_if<snapshot_read>(&action)) {
                state = snapshot->body;
                seen = snapshot->covers;
            } else if (auto* const record = std::get_if<record_read>(&action)) {
                gaps += record->record.number == seen + 1 ? 0 : 1;
                seen = record->record.number;
                state += record->record.body;
            } else if (auto* const append = std::get_if<append_completed>(&action)) {
                settled.push_back(*append);
            } else if (auto* const written = std::get_if<snapshot_completed>(&action)) {
                snapshots.push_back(*written);
            }
        }
        arm();
    }

    void arm() {
        const auto wakeup = log.next_wakeup();
        if (wakeup && *wakeup != armed) {
            armed = *wakeup;
            events.after(*wakeup - events.now(), [this] {
                log.on_time(events.now());
                pump();
            });
        }
    }

    void load() {
        log.load(events.now());
        pump();
    }

    append_start append(const std::string& body) {
        const auto result = log.append(events.now(), body);
        pump();
        return result;
    }

    bool snapshot() {
        const bool started = log.write_snapshot(events.now(), log.head(), state);
        pump();
        return started;
    }

    common::event_queue& events;
    fakes::fake_kv_store& kv;
    common::counters counts;
    sequenced_log log;
    fakes::kv_faults path;
    /// Concatenation of all bodies in order, as the reader's state.
    std::string state;
    std::uint64_t seen = 0;
    int gaps = 0;
    std::vector<append_completed> settled;
    std::vector<snapshot_completed> snapshots;
    common::time_point armed{};
};

struct log_fixture {
    log_fixture() : kv(events), a(events, kv, options("a")), b(events, kv, options("b")) {}

    static sequenced_log_options options(const std::string& writer) {
        sequenced_log_options o;
        o.prefix = "test/log";
        o.writer = writer;
        o.slots = 4;
        return o;
    }

    void run(common::duration time) { events.run_until(events.now() + time); }

    void load_both() {
        a.load();
        b.load();
        run(std::chrono::milliseconds(50));
    }

    common::event_queue events;
    fakes::fake_kv_store kv;
    log_client a;
    log_client b;
};

} // namespace buckthornspar::store
