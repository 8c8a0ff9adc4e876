#include "core/config/config_service.h"

#include "core/common/error.h"
#include "fakes/fake_kv_store.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace buckthornspar;
using namespace buckthornspar::config;
using namespace std::chrono_literals;

namespace {

struct service_client {
    service_client(common::event_queue& e, fakes::fake_kv_store& s, const std::string& writer)
        : events(e), kv(s), service(options(writer), counts) {
        service.start(events.now());
        pump();
    }

    static config_service_options options(const std::string& writer) {
        config_service_options o;
        o.log.prefix = "config";
        o.log.writer = writer;
        o.log.slots = 4;
        o.max_history = 8;
        o.max_queued_patches = 3;
        return o;
    }

    void pump() {
        for (auto& action : service.take_actions()) {
            if (auto* const call = std::get_if<store::store_call>(&action)) {
                kv.submit(store_faults, call->request, [this, id = call->id](const auto& response) {
                    service.on_response(events.now(), id, response);
                    pump();
                });
            } else if (auto* const result = std::get_if<patch_result>(&action)) {
                results[result->ticket] = *result;
            }
        }
        if (const auto wakeup = service.next_wakeup()) {
            events.after(std::max(*wakeup - events.now(), common::duration(1)), [this] {
                service.on_time(events.now());
                pump();
            });
        }
    }

    std::uint64_t submit(const patch& p) {
        service.submit(events.now(), ++last_ticket, p, 1000);
        pump();
        return last_ticket;
    }

    /// Submits a patch, runs the event queue for 100 ms and returns the result.
    patch_result submit_and_wait(const patch& p) {
        const auto ticket = submit(p);
        events.run_until(events.now() + 100ms);
        return results.at(ticket);
    }

    common::event_queue& events;
    fakes::fake_kv_store& kv;
    common::counters counts;
    fakes::kv_faults store_faults;
    config_service service;
    std::uint64_t last_ticket = 0;
    std::map<std::uint64_t, patch_result> results;
};

patch make_patch(const std::string& id, std::uint64_t version, const std::string& path,
                 const std::string& value) {
    patch p;
    p.id = id;
    p.author = "ana";
    p.version = version;
    p.changes = {{change_kind::set, path, value}};
    return p;
}

patch limit_patch(const std::string& id, std::uint64_t version, int value = 5) {
    return make_patch(id, version, "limits/max_tasks_per_job", std::to_string(value));
}

struct service_fixture {
    service_fixture() : kv(events), a(events, kv, "a"), b(events, kv, "b") { run(50ms); }
    void run(common::duration time) { events.run_until(events.now() + time); }

    common::event_queue events;
    fakes::fake_kv_store kv;
    service_client a;
    service_client b;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(config_service_suite, service_fixture)

// Guards against versions that are not consecutive, and against a history without author and time.
BOOST_AUTO_TEST_CASE(patch_becomes_the_next_version) {
    for (std::uint64_t v = 0; v < 20; ++v) {
        const auto result =
            a.submit_and_wait(limit_patch("p" + std::to_string(v), v, static_cast<int>(v) + 1));
        BOOST_TEST((result.status == patch_status::accepted));
        BOOST_TEST(result.version == v + 1);
    }
    const accepted_patch& last = a.service.history().patches().back();
    BOOST_TEST(last.author == "ana");
    BOOST_TEST(last.time_ms == 1000);
}

// Guards against concurrent patches that are both accepted, and against a conflict without details.
BOOST_AUTO_TEST_CASE(racing_patches_have_one_winner) {
    const auto first = a.submit(limit_patch("pa", 0));
    const auto second = b.submit(limit_patch("pb", 0));
    run(200ms);
    BOOST_TEST((a.results.at(first).status == patch_status::accepted));
    const auto& lost = b.results.at(second);
    BOOST_TEST((lost.status == patch_status::version_conflict));
    BOOST_TEST(lost.version == 1U);
    BOOST_REQUIRE(lost.fields.size() == 1U);
    BOOST_TEST(lost.fields[0] == "limits/max_tasks_per_job");
}

// Guards against refusing a patch because this process has not read its base version yet.
BOOST_AUTO_TEST_CASE(version_of_another_process_is_read_on_demand) {
    BOOST_TEST((a.submit_and_wait(limit_patch("p1", 0)).status == patch_status::accepted));
    BOOST_TEST((b.submit_and_wait(limit_patch("p2", 1, 6)).status == patch_status::accepted));
    BOOST_TEST((b.submit_and_wait(limit_patch("p3", 9)).status == patch_status::unknown_version));
}

// Guards against applying a repeated patch twice, also when it is repeated at another process.
BOOST_AUTO_TEST_CASE(repeated_patch_returns_its_first_result) {
    (void)a.submit_and_wait(limit_patch("p1", 0));
    (void)a.submit_and_wait(limit_patch("p2", 1, 6));
    for (service_client* const client : {&a, &b}) {
        const auto again = client->submit_and_wait(limit_patch("p1", 0));
        BOOST_TEST((again.status == patch_status::accepted));
        BOOST_TEST(again.version == 1U);
        BOOST_TEST(
            (client->submit_and_wait(limit_patch("p1", 2, 9)).status == patch_status::id_reused));
    }
}

// Guards against refused patches and dry runs that write to the store.
BOOST_AUTO_TEST_CASE(refused_patch_and_dry_run_write_nothing) {
    const auto invalid = a.submit_and_wait(limit_patch("p1", 0, -1));
    BOOST_TEST((invalid.status == patch_status::invalid));
    BOOST_TEST(invalid.error_type == "out_of_range");
    BOOST_TEST(invalid.field == "limits/max_tasks_per_job");
    patch dry = limit_patch("p2", 0);
    dry.dry_run = true;
    BOOST_TEST((a.submit_and_wait(dry).status == patch_status::valid));
    BOOST_TEST(kv.entries().empty());
}

// Guards against an undo that overwrites later changes or modifies existing versions.
BOOST_AUTO_TEST_CASE(undo_is_a_new_version) {
    (void)a.submit_and_wait(limit_patch("p1", 0, 5));
    (void)a.submit_and_wait(make_patch("p2", 1, "limits/retry_budget_percent", "50"));
    patch undo;
    undo.id = "u1";
    undo.author = "eva";
    undo.version = 2;
    undo.undo_of = 1;
    const auto result = a.submit_and_wait(undo);
    BOOST_TEST((result.status == patch_status::accepted));
    BOOST_TEST(result.version == 3U);
    BOOST_TEST(a.service.history().in_force().get(limit::max_tasks_per_job) ==
               definition_of(limit::max_tasks_per_job).initial);
    BOOST_TEST(a.service.history().in_force().get(limit::retry_budget_percent) == 50);
    undo.id = "u2";
    undo.version = 3;
    const auto conflict = a.submit_and_wait(undo);
    BOOST_TEST((conflict.status == patch_status::undo_conflict));
    BOOST_REQUIRE(conflict.fields.size() == 1U);
}

// Guards against a lost patch or a wrong result when only the response of the store is lost.
BOOST_AUTO_TEST_CASE(lost_store_response_is_resolved) {
    a.store_faults.lose_answers = true;
    const auto ticket = a.submit(limit_patch("p1", 0));
    run(100ms);
    a.store_faults = {};
    run(3s);
    BOOST_TEST((a.results.at(ticket).status == patch_status::accepted));
    BOOST_TEST(a.results.at(ticket).version == 1U);
}

// Guards against patches that wait forever, and against refused patches that take effect later.
BOOST_AUTO_TEST_CASE(patches_are_refused_in_time_in_an_outage) {
    kv.faults.down = true;
    const auto first = a.submit(limit_patch("p1", 0));
    const auto second = a.submit(limit_patch("p2", 0));
    (void)a.submit(limit_patch("p3", 0));
    const auto over = a.submit(limit_patch("p4", 0));
    BOOST_TEST((a.results.at(over).status == patch_status::queue_full));
    run(5200ms);
    BOOST_TEST((a.results.at(first).status == patch_status::store_unavailable));
    BOOST_TEST((a.results.at(second).status == patch_status::store_unavailable));
    kv.faults.down = false;
    run(10s);
    BOOST_TEST(kv.entries().empty());
    BOOST_TEST((a.submit_and_wait(limit_patch("p5", 0)).status == patch_status::accepted));
}

// Guards against more than one unknown outcome in a long outage in which failed writes may have
// been executed: only the outcome of the first write may be unknown.
BOOST_AUTO_TEST_CASE(only_first_patch_of_an_outage_has_unknown_outcome) {
    a.store_faults.lose_answers = true;
    const auto first = a.submit(limit_patch("p1", 0));
    run(6s);
    const auto second = a.submit(limit_patch("p2", 0));
    run(6s);
    BOOST_TEST((a.results.at(first).status == patch_status::outcome_unknown));
    BOOST_TEST((a.results.at(second).status == patch_status::store_unavailable));
}

// Guards against reporting a patch as refused while its write may still take effect.
BOOST_AUTO_TEST_CASE(unknown_outcome_is_reported_and_resolved_later) {
    a.store_faults.lose_answers = true;
    const auto ticket = a.submit(limit_patch("p1", 0));
    run(6s);
    BOOST_TEST((a.results.at(ticket).status == patch_status::outcome_unknown));
    a.store_faults = {};
    run(3s);
    const auto again = a.submit_and_wait(limit_patch("p1", 0));
    BOOST_TEST((again.status == patch_status::accepted));
    BOOST_TEST(again.version == 1U);
}

// Guards against a restarted process that misses versions written by others.
BOOST_AUTO_TEST_CASE(new_process_reads_snapshot_and_records) {
    for (std::uint64_t v = 0; v < 11; ++v) {
        (void)a.submit_and_wait(limit_patch("p" + std::to_string(v), v, static_cast<int>(v) + 1));
    }
    service_client c(events, kv, "c");
    run(100ms);
    BOOST_TEST(c.service.history().version() == 11U);
    BOOST_TEST((c.service.history().in_force() == a.service.history().in_force()));
    BOOST_TEST((c.submit_and_wait(limit_patch("p9", 9, 10)).status == patch_status::accepted));
}

// Guards against a missing first version and against several first versions.
BOOST_AUTO_TEST_CASE(first_version_is_written_once) {
    a.service.ensure_first_version(events.now(), 1);
    b.service.ensure_first_version(events.now(), 1);
    a.pump();
    b.pump();
    run(200ms);
    a.service.ensure_first_version(events.now(), 1);
    a.pump();
    run(200ms);
    BOOST_TEST(a.service.history().version() == 1U);
    BOOST_TEST(b.service.history().version() == 1U);
    BOOST_TEST((a.service.history().in_force() == configuration{}));
}

// Guards against a version whose content depends on the default values of the release that reads
// it.
BOOST_AUTO_TEST_CASE(first_version_contains_the_defaults_it_was_made_with) {
    (void)a.submit_and_wait(make_patch("p1", 0, "limits/retry_budget_percent", "50"));
    const auto& slot = kv.entries().at("config/slot/1").value;
    const std::string initial =
        std::to_string(definition_of(limit::max_request_deadline_ms).initial);
    BOOST_TEST(slot.find("\"max_request_deadline_ms\":" + initial) != std::string::npos);
    BOOST_TEST(b.submit_and_wait(limit_patch("p2", 1)).version == 2U);
    BOOST_TEST(b.service.history().in_force().get(limit::retry_budget_percent) == 50);
}

// Guards against a history that is too short to determine the outcome of writes with lost
// responses.
BOOST_AUTO_TEST_CASE(short_history_is_refused) {
    auto options = service_client::options("x");
    options.max_history = options.log.slots;
    BOOST_CHECK_THROW(config_service(options, a.counts), common::usage_error);
}

BOOST_AUTO_TEST_SUITE_END()
