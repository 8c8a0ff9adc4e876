#include "core/scheduling/worker_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace buckthornspar;
using namespace buckthornspar::scheduling;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t epoch = 7;
const std::set<std::string> three_workers{"w1", "w2", "w3"};

/// An owner that has sent adopt requests to three workers.
struct adopting_fleet {
    adopting_fleet() : fleet({}, counters) {
        std::vector<membership::instance> listed;
        for (const auto& worker : three_workers) {
            listed.emplace_back().id = worker;
        }
        fleet.on_worker_list(now, listed);
        fleet.begin(now, epoch, three_workers);
        fleet.set_quorums(three_workers, three_workers);
        step();
    }

    void step() {
        fleet.on_time(now);
        events = fleet.take_events();
        for (const auto& event : events) {
            if (const auto* const call = std::get_if<adopt_call>(&event)) {
                adoptions[call->worker] = call->call;
            } else if (const auto* const renewal = std::get_if<sync_call>(&event)) {
                renewals[renewal->worker] = renewal->call;
            }
        }
    }

    void respond_to_adoption(const std::string& worker, std::uint64_t incarnation = 1) {
        worker_inventory inventory;
        inventory.worker = worker;
        inventory.incarnation = incarnation;
        inventory.stamp_ms = common::to_milliseconds(now);
        fleet.on_adopt(now, worker, adoptions.at(worker), inventory);
        step();
    }

    void fail_renewal(const std::string& worker) {
        fleet.on_sync(now, worker, renewals.at(worker),
                      worker_error{worker_error_kind::no_answer, 0});
        step();
    }

    [[nodiscard]] std::size_t starts_sent_to(const std::string& worker) const {
        std::size_t sent = 0;
        for (const auto& event : events) {
            const auto* const call = std::get_if<sync_call>(&event);
            sent += call != nullptr && call->worker == worker ? call->request.operations.size() : 0;
        }
        return sent;
    }

    common::counters counters;
    worker_fleet fleet;
    common::time_point now{milliseconds(1000)};
    std::vector<fleet_event> events;
    std::map<std::string, std::uint64_t> adoptions;
    std::map<std::string, std::uint64_t> renewals;
};

} // namespace

BOOST_AUTO_TEST_SUITE(worker_fleet_test)

// Guards against operations that stay queued until the next scheduled call of the link when only
// the authority has changed.
BOOST_AUTO_TEST_CASE(queued_start_is_sent_when_authority_is_reached) {
    adopting_fleet f;
    f.respond_to_adoption("w1");
    f.fleet.queue("w1", {worker_op::start, "a@7.1", "a/0", {}, {}, ""});
    f.step();
    BOOST_TEST(f.starts_sent_to("w1") == 0U);
    f.now += milliseconds(1);
    f.respond_to_adoption("w2");
    BOOST_TEST(f.starts_sent_to("w1") == 1U);
}

// Guards against a lease end that is not noticed when the worker causes no other event.
BOOST_AUTO_TEST_CASE(lapse_of_an_unresponsive_worker_is_due_and_reported_once) {
    adopting_fleet f;
    f.respond_to_adoption("w1");
    f.respond_to_adoption("w2");
    std::size_t lapses = 0;
    const auto until = f.now + std::chrono::seconds(30);
    for (auto next = f.fleet.next_wakeup(); next && *next < until; next = f.fleet.next_wakeup()) {
        f.now = std::max(f.now + milliseconds(1), *next);
        f.step();
        lapses += static_cast<std::size_t>(
            std::count_if(f.events.begin(), f.events.end(), [](const fleet_event& event) {
                const auto* const lapsed = std::get_if<leases_lapsed>(&event);
                return lapsed != nullptr && lapsed->worker == "w1";
            }));
    }
    BOOST_TEST(lapses == 1U);
}

// Guards against a lapse that is taken for certain although a successor may have had a majority
// before the end of the lease and renewed it, and against one that is never confirmed.
BOOST_AUTO_TEST_CASE(lapse_is_confirmed_by_a_majority_after_the_end_of_the_lease) {
    adopting_fleet f;
    f.respond_to_adoption("w1");
    f.respond_to_adoption("w2");
    f.respond_to_adoption("w3");
    const auto lapses = [&f](bool confirmed) {
        return std::count_if(f.events.begin(), f.events.end(), [&](const fleet_event& event) {
            const auto* const lapsed = std::get_if<leases_lapsed>(&event);
            return lapsed != nullptr && lapsed->worker == "w1" && lapsed->confirmed == confirmed;
        });
    };
    const auto stamp_received_at = f.now;
    // The first renewals are sent and remain without a result.
    f.now += std::chrono::seconds(1);
    f.step();
    f.now = stamp_received_at + with_drift(lease_settings{}.lease, {});
    f.step();
    BOOST_TEST(lapses(false) == 1);
    BOOST_TEST(lapses(true) == 0);
    const auto accept_again = [&f](const std::string& worker) {
        f.fail_renewal(worker);
        f.now += std::chrono::seconds(2);
        f.step();
        f.respond_to_adoption(worker);
        f.now += milliseconds(200);
        f.step();
    };
    accept_again("w2");
    BOOST_TEST(lapses(true) == 0);
    accept_again("w3");
    BOOST_TEST(lapses(true) == 1);
}

// Guards against tasks of a former owner that are taken for running for ever, because their worker
// dies before this owner grants a lease.
BOOST_AUTO_TEST_CASE(leases_of_a_former_owner_lapse) {
    adopting_fleet f;
    f.respond_to_adoption("w1");
    std::size_t lapses = 0;
    const auto end = f.now + with_drift(lease_settings{}.lease, {});
    for (f.now += milliseconds(100); f.now <= end; f.now += milliseconds(10)) {
        f.step();
        BOOST_TEST_REQUIRE(lapses == 0U);
        lapses += static_cast<std::size_t>(
            std::count_if(f.events.begin(), f.events.end(), [](const fleet_event& event) {
                const auto* const lapsed = std::get_if<leases_lapsed>(&event);
                return lapsed != nullptr && lapsed->worker == "w1";
            }));
    }
    BOOST_TEST(lapses == 1U);
}

// Guards against authority by a worker that has accepted a successor and forgotten it in a restart,
// and against a worker that never counts again.
BOOST_AUTO_TEST_CASE(restarted_worker_counts_once_the_log_was_unclaimed_after_it) {
    adopting_fleet f;
    f.respond_to_adoption("w1");
    f.fleet.on_adopt(f.now, "w2", f.adoptions.at("w2"),
                     worker_error{worker_error_kind::no_answer, 0});
    // The acceptance of w1 ends, and both are asked again.
    f.now += std::chrono::seconds(5);
    f.step();
    f.respond_to_adoption("w2");
    BOOST_TEST(!f.fleet.has_authority(f.now));
    BOOST_TEST(!f.fleet.has_unconfirmed_restarts());
    f.respond_to_adoption("w1", 2);
    BOOST_TEST(f.fleet.has_unconfirmed_restarts());
    BOOST_TEST(!f.fleet.has_authority(f.now));
    f.fleet.confirm_restarts(f.now);
    BOOST_TEST(f.fleet.has_unconfirmed_restarts());
    BOOST_TEST(!f.fleet.has_authority(f.now));
    f.now += milliseconds(1);
    f.fleet.confirm_restarts(f.now);
    BOOST_TEST(!f.fleet.has_unconfirmed_restarts());
    BOOST_TEST(f.fleet.has_authority(f.now));
}

BOOST_AUTO_TEST_SUITE_END()
