#pragma once

#include "core/store/sequenced_log.h"
#include "fakes/fake_kv_store.h"

#include <map>
#include <string>
#include <vector>

namespace buckthornspar::store {

/// A log writer whose connection to the fake store can have faults of its own.
struct log_client {
    log_client(common::event_queue& e, fakes::fake_kv_store& s, sequenced_log_options options)
        : events(e), kv(s), log(std::move(options), counts) {}

    void process_actions() {
        for (auto& action : log.take_actions()) {
            if (auto* const call = std::get_if<store_call>(&action)) {
                kv.submit(path, call->request, [this, id = call->id](const kv_response& response) {
                    log.on_response(events.now(), id, response);
                    process_actions();
                });
            } else if (auto* const snapshot = std::get_if<snapshot_read>(&action)) {
                state = snapshot->body;
                last_record = snapshot->last_included;
            } else if (auto* const record = std::get_if<record_read>(&action)) {
                gaps += record->record.number == last_record + 1 ? 0 : 1;
                last_record = record->record.number;
                state += record->record.body;
            } else if (auto* const append = std::get_if<append_completed>(&action)) {
                appends.push_back(*append);
            } else if (auto* const written = std::get_if<snapshot_completed>(&action)) {
                snapshots.push_back(*written);
            }
        }
        schedule_wakeup();
    }

    void schedule_wakeup() {
        const auto wakeup = log.next_wakeup();
        if (wakeup && *wakeup != scheduled_wakeup) {
            scheduled_wakeup = *wakeup;
            events.after(*wakeup - events.now(), [this] {
                log.on_time(events.now());
                process_actions();
            });
        }
    }

    void load() {
        log.load(events.now());
        process_actions();
    }

    append_start append(const std::string& body) {
        const auto result = log.append(events.now(), body);
        process_actions();
        return result;
    }

    bool snapshot() {
        const bool started = log.write_snapshot(events.now(), log.head(), state);
        process_actions();
        return started;
    }

    common::event_queue& events;
    fakes::fake_kv_store& kv;
    common::counters counts;
    sequenced_log log;
    fakes::kv_faults path;
    /// State of the reader: the concatenation of all record bodies in order.
    std::string state;
    std::uint64_t last_record = 0;
    int gaps = 0;
    std::vector<append_completed> appends;
    std::vector<snapshot_completed> snapshots;
    common::time_point scheduled_wakeup{};
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
