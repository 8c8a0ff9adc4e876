#include "unit/service/service_fixture.h"

#include "core/common/counters.h"
#include "core/dispatch/progress.h"
#include "core/net/http_client.h"
#include "core/service/job_intake.h"
#include "core/service/store_keys.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace buckthornspar::service::test;
using namespace std::chrono_literals;
using dispatch::store_status;

namespace {

struct intake_fixture : service_fixture {
    intake_result submit(const std::string& id, const std::string& payload = "p",
                         const std::string& node = "n1", const std::string& customer = "") {
        dispatch::job_spec job;
        job.customer = customer;
        job.accepted_by = node;
        job.id = id;
        job.queue = "q";
        job.payload = payload;
        job.steps.emplace_back();
        return wait([&](intake_completion done) {
            intake.submit(job, clock.now() + 1300ms, std::move(done));
        });
    }

    intake_result cancel(const std::string& id) {
        return wait([&](intake_completion done) {
            intake.cancel(id, {}, clock.now() + 1300ms, std::move(done));
        });
    }

    intake_result query(const std::string& id) {
        return wait([&](intake_completion done) {
            intake.query(id, {}, clock.now() + 1300ms, std::move(done));
        });
    }

    intake_result wait(const std::function<void(intake_completion)>& call) {
        std::optional<intake_result> result;
        call([&](const intake_result& r) { result = r; });
        BOOST_REQUIRE(run_until([&] { return result.has_value(); }));
        return *result;
    }

    common::counters counters;
    store_health health{clock};
    monitored_store observed{store, health};
    net::http_client client{loop, {}};
    store_relay relay{client, observed, health, [] { return std::optional<net::endpoint>(); }};
    job_intake intake{observed, relay, health, loop, clock, counters};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_intake_suite, intake_fixture)

// Guards against a repeated submission that creates a second job, and against a different job that
// is accepted under an id in use.
BOOST_AUTO_TEST_CASE(a_repeated_id_is_one_job) {
    BOOST_TEST((submit("a").outcome == intake_outcome::accepted));
    const auto record = store.value_of(job_key("a"));
    BOOST_TEST((submit("a").outcome == intake_outcome::accepted));
    BOOST_TEST(store.value_of(job_key("a")) == record);
    BOOST_TEST((submit("a", "other").outcome == intake_outcome::conflict));
}

// Guards against a node that shows the state of another node's job, of which it is not told.
BOOST_AUTO_TEST_CASE(a_repeated_submission_names_the_node_that_accepted_it_first) {
    BOOST_TEST(submit("a", "p", "n1").accepted_by == "n1");
    const auto repeated = submit("a", "p", "n2");
    BOOST_TEST((repeated.outcome == intake_outcome::accepted));
    BOOST_TEST(repeated.accepted_by == "n1");
}

// Guards against a job that runs again because its submission is repeated after its end.
BOOST_AUTO_TEST_CASE(a_submission_after_the_end_of_its_job_starts_nothing) {
    dispatch::job_progress ended;
    ended.state = dispatch::job_state::completed;
    store.apply({{}, {{progress_key("a"), dispatch::write_progress(ended), 0}}, {}});
    BOOST_TEST((submit("a").outcome == intake_outcome::accepted));
    BOOST_TEST(!store.has(job_key("a")));
    const auto state = query("a");
    BOOST_TEST((state.outcome == intake_outcome::found));
    BOOST_TEST((state.state == dispatch::job_state::completed));
}

// Guards against customers who read, cancel or take over the jobs of others, and against jobs of
// earlier versions that nobody reaches any more.
BOOST_AUTO_TEST_CASE(another_customer_does_not_reach_a_job) {
    const auto outcome = [&](auto call, const std::string& id, const char* customer) {
        const customers::job_access access{customer, ""};
        return wait([&](intake_completion done) {
                   (intake.*call)(id, access, clock.now() + 1300ms, std::move(done));
               })
            .outcome;
    };
    BOOST_TEST((submit("a", "p", "n1", "c1").outcome == intake_outcome::accepted));
    BOOST_TEST((submit("a", "p", "n1", "c2").outcome == intake_outcome::conflict));
    BOOST_TEST((outcome(&job_intake::query, "a", "c2") == intake_outcome::no_such_job));
    BOOST_TEST((outcome(&job_intake::cancel, "a", "c2") == intake_outcome::no_such_job));
    BOOST_TEST(!store.has(cancel_key("a")));
    BOOST_TEST((outcome(&job_intake::query, "a", "c1") == intake_outcome::found));
    BOOST_TEST((outcome(&job_intake::cancel, "a", "c1") == intake_outcome::accepted));

    dispatch::job_progress ended;
    ended.state = dispatch::job_state::completed;
    ended.origin = {"q", "c1"};
    store.apply({{}, {{progress_key("b"), dispatch::write_progress(ended), 0}}, {}});
    BOOST_TEST((outcome(&job_intake::query, "b", "c2") == intake_outcome::no_such_job));
    BOOST_TEST((outcome(&job_intake::cancel, "b", "c2") == intake_outcome::no_such_job));
    BOOST_TEST((outcome(&job_intake::query, "b", "c1") == intake_outcome::found));
    BOOST_TEST((submit("b", "p", "n1", "c2").outcome == intake_outcome::conflict));
    BOOST_TEST((submit("b", "p", "n1", "c1").outcome == intake_outcome::accepted));

    BOOST_TEST((submit("d").outcome == intake_outcome::accepted));
    BOOST_TEST((outcome(&job_intake::query, "d", "c2") == intake_outcome::found));
}

// Guards against reporting an unknown outcome when only the answer of the store was lost.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_resolved_by_repeating) {
    bool lost = false;
    store.on_commit = [&](const dispatch::store_commit& change) {
        if (lost) {
            return store_status::ok;
        }
        lost = true;
        store.apply(change);
        return store_status::unknown;
    };
    BOOST_TEST((submit("a").outcome == intake_outcome::accepted));
    BOOST_TEST(lost);
}

// Guards against refusing a job that may have been stored.
BOOST_AUTO_TEST_CASE(a_job_that_may_be_stored_is_not_refused) {
    store.on_commit = [](const dispatch::store_commit&) { return store_status::unknown; };
    BOOST_TEST((submit("a").outcome == intake_outcome::unknown));
}

// Guards against needless unknown outcomes: in an outage that resets connections, a caller can only
// retry when its job is certainly not stored.
BOOST_AUTO_TEST_CASE(a_commit_is_tried_in_an_outage_only_after_a_read_has_succeeded) {
    store.on_commit = [](const dispatch::store_commit&) { return store_status::unknown; };
    store.reads_fail = true;
    health.record_outcome(store_status::unknown);
    store.commits = 0;
    BOOST_TEST((submit("a").outcome == intake_outcome::not_stored));
    BOOST_TEST(store.commits == 0U);
}

// Guards against calls that are held while the store refuses everything, which uses up the caller's
// deadline.
BOOST_AUTO_TEST_CASE(calls_are_refused_at_once_in_an_outage) {
    store.on_commit = [](const dispatch::store_commit&) { return store_status::unavailable; };
    store.reads_fail = true;
    BOOST_TEST((submit("a").outcome == intake_outcome::not_stored));
    const auto before = clock.now();
    BOOST_TEST((submit("b").outcome == intake_outcome::not_stored));
    BOOST_TEST((clock.now() - before < 100ms));
}

// Guards against a cancellation that is acknowledged without being stored or for an unknown job.
BOOST_AUTO_TEST_CASE(a_cancellation_is_stored_for_a_known_job_only) {
    BOOST_TEST((cancel("a").outcome == intake_outcome::no_such_job));
    submit("a");
    BOOST_TEST((cancel("a").outcome == intake_outcome::accepted));
    BOOST_TEST(store.has(cancel_key("a")));
    BOOST_TEST((query("b").outcome == intake_outcome::no_such_job));
}

BOOST_AUTO_TEST_SUITE_END()
