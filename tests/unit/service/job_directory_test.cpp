#include "core/service/job_directory.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace std::chrono_literals;
using dispatch::job_state;

namespace {

struct directory_fixture {
    job_directory directory{120s};
    common::time_point now{10s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_directory_suite, directory_fixture)

// Guards against a state that goes back when changes from successive owners arrive out of order.
BOOST_AUTO_TEST_CASE(a_state_moves_forward_only) {
    BOOST_TEST(directory.apply_change(now, {"a", "q", job_state::running, "n"}));
    BOOST_TEST(!directory.apply_change(now, {"a", "q", job_state::queued, "n"}));
    BOOST_TEST(directory.apply_change(now, {"a", "q", job_state::completed, "n"}));
    BOOST_TEST(!directory.apply_change(now, {"a", "q", job_state::cancelled, "n"}));
    BOOST_TEST((directory.state_of("a") == job_state::completed));
}

// Guards against changes that another node never receives.
BOOST_AUTO_TEST_CASE(a_reader_gets_missed_changes_or_the_full_state) {
    directory.apply_change(now, {"a", "q", job_state::queued, "n"});
    const auto position = directory.changes_after(0, "n").next;
    directory.apply_change(now, {"b", "q", job_state::queued, "n"});
    auto page = directory.changes_after(position, "n");
    BOOST_TEST(!page.full);
    BOOST_REQUIRE(page.changes.size() == 1U);
    BOOST_TEST(page.changes[0].job == "b");
    BOOST_TEST(directory.changes_after(page.next, "n").changes.empty());
    for (int i = 0; i < 5000; ++i) {
        directory.apply_change(now, {"j" + std::to_string(i), "q", job_state::queued, "n"});
    }
    page = directory.changes_after(position, "n");
    BOOST_TEST(page.full);
    BOOST_TEST(page.changes.size() == 5002U);
}

// Pattern: many nodes, each with few of the jobs. Guards against an owner that sends every change
// to every node, which fills a narrow link.
BOOST_AUTO_TEST_CASE(a_node_gets_only_changes_of_the_jobs_that_it_accepted) {
    directory.apply_change(now, {"a", "q", job_state::queued, "n1"});
    directory.apply_change(now, {"b", "q", job_state::queued, "n2"});
    const auto first = directory.changes_after(0, "n1");
    BOOST_TEST(first.full);
    BOOST_REQUIRE(first.changes.size() == 1U);
    BOOST_TEST(first.changes[0].job == "a");
    directory.apply_change(now, {"b", "q", job_state::running, "n2"});
    BOOST_TEST(!directory.has_changes_after(first.next, "n1"));
    BOOST_TEST(directory.changes_after(first.next, "n1").changes.empty());
    BOOST_TEST(directory.has_changes_after(first.next, "n2"));
    // A change without the name of the node belongs to the node that is known already.
    directory.apply_change(now, {"a", "q", job_state::completed, ""});
    BOOST_REQUIRE(directory.changes_after(first.next, "n1").changes.size() == 1U);
    // A node that has never polled, or has polled another owner before, gets its jobs again.
    BOOST_TEST(directory.changes_after(first.next + 10, "n1").full);
    BOOST_TEST(directory.changes_after(0, "n3").changes.empty());
}

// Pattern: customers that ask about their jobs at several nodes. Guards against reading the store
// for each of these calls.
BOOST_AUTO_TEST_CASE(a_node_gets_changes_of_a_job_that_it_follows) {
    directory.apply_change(now, {"a", "q", job_state::running, "n1"});
    const auto position = directory.changes_after(0, "n2").next;
    directory.follow("a", "n2");
    directory.follow("a", "n2");
    directory.follow("unknown", "n2");
    BOOST_TEST(directory.has_changes_after(position, "n2"));
    auto page = directory.changes_after(position, "n2");
    BOOST_REQUIRE(page.changes.size() == 1U);
    BOOST_TEST((page.changes[0].state == job_state::running));
    directory.apply_change(now, {"a", "q", job_state::completed, "n1"});
    page = directory.changes_after(page.next, "n2");
    BOOST_REQUIRE(page.changes.size() == 1U);
    BOOST_TEST((page.changes[0].state == job_state::completed));
    BOOST_TEST(directory.changes_after(0, "n2").changes.size() == 1U);
    BOOST_TEST(directory.changes_after(position, "n1").changes.size() == 1U);
}

// Guards against a state that is never updated again after a change of owner: nodes ask for their
// jobs before the new owner has read them.
BOOST_AUTO_TEST_CASE(a_job_may_be_followed_before_it_is_known) {
    directory.follow("a", "n2");
    const auto position = directory.changes_after(0, "n2").next;
    directory.apply_change(now, {"a", "q", job_state::completed, "n1"});
    const auto page = directory.changes_after(position, "n2");
    BOOST_REQUIRE(page.changes.size() == 1U);
    BOOST_TEST((page.changes[0].state == job_state::completed));
}

// Guards against a state that no owner updates any more being shown for ever by a former owner.
BOOST_AUTO_TEST_CASE(a_former_owner_forgets_the_states_of_other_nodes_jobs) {
    directory.apply_change(now, {"a", "q", job_state::running, "own"});
    directory.apply_change(now, {"b", "q", job_state::running, "other"});
    directory.apply_change(now, {"c", "q", job_state::completed, "other"});
    directory.remove_unfollowed("own");
    BOOST_TEST(directory.state_of("a").has_value());
    BOOST_TEST(!directory.state_of("b").has_value());
    BOOST_TEST((directory.state_of("c") == job_state::completed));
}

// Guards against an outdated count while there is no owner or it cannot be reached.
BOOST_AUTO_TEST_CASE(an_outdated_count_is_not_reported) {
    directory.set_pending(now, {{"q", 3}});
    BOOST_TEST((directory.pending_of("q", now + 1s, 2s) == std::size_t{3}));
    BOOST_TEST(!directory.pending_of("q", now + 3s, 2s).has_value());
}

// Guards against unbounded memory growth, and against a state that is removed too early.
BOOST_AUTO_TEST_CASE(ended_jobs_are_kept_for_the_retention) {
    directory.apply_change(now, {"a", "q", job_state::completed, "n"});
    directory.apply_change(now, {"b", "q", job_state::running, "n"});
    directory.expire(now + 119s);
    BOOST_TEST(directory.state_of("a").has_value());
    directory.expire(now + 121s);
    BOOST_TEST(!directory.state_of("a").has_value());
    BOOST_TEST(directory.state_of("b").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
