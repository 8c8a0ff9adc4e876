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
    BOOST_TEST(directory.apply_change(now, {"a", "q", job_state::running}));
    BOOST_TEST(!directory.apply_change(now, {"a", "q", job_state::queued}));
    BOOST_TEST(directory.apply_change(now, {"a", "q", job_state::completed}));
    BOOST_TEST(!directory.apply_change(now, {"a", "q", job_state::cancelled}));
    BOOST_TEST((directory.state_of("a") == job_state::completed));
}

// Guards against changes that another node never receives.
BOOST_AUTO_TEST_CASE(a_reader_gets_missed_changes_or_the_full_state) {
    directory.apply_change(now, {"a", "q", job_state::queued});
    const auto position = directory.position();
    directory.apply_change(now, {"b", "q", job_state::queued});
    auto page = directory.changes_after(position);
    BOOST_TEST(!page.full);
    BOOST_REQUIRE(page.changes.size() == 1U);
    BOOST_TEST(page.changes[0].job == "b");
    BOOST_TEST(directory.changes_after(page.next).changes.empty());
    for (int i = 0; i < 5000; ++i) {
        directory.apply_change(now, {"j" + std::to_string(i), "q", job_state::queued});
    }
    page = directory.changes_after(position);
    BOOST_TEST(page.full);
    BOOST_TEST(page.changes.size() == 5002U);
}

// Guards against an outdated count while there is no owner or it cannot be reached.
BOOST_AUTO_TEST_CASE(an_outdated_count_is_not_reported) {
    directory.set_pending(now, {{"q", 3}});
    BOOST_TEST((directory.pending_of("q", now + 1s, 2s) == std::size_t{3}));
    BOOST_TEST(!directory.pending_of("q", now + 3s, 2s).has_value());
}

// Guards against unbounded memory growth, and against a state that is removed too early.
BOOST_AUTO_TEST_CASE(ended_jobs_are_kept_for_the_retention) {
    directory.apply_change(now, {"a", "q", job_state::completed});
    directory.apply_change(now, {"b", "q", job_state::running});
    directory.expire(now + 119s);
    BOOST_TEST(directory.state_of("a").has_value());
    directory.expire(now + 121s);
    BOOST_TEST(!directory.state_of("a").has_value());
    BOOST_TEST(directory.state_of("b").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
