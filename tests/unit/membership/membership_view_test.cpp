#include "core/membership/membership_view.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::membership;
using namespace std::chrono_literals;

namespace {

instance make_instance(const std::string& id, instance_state state = instance_state::live) {
    instance i;
    i.id = id;
    i.address = {"127.0.0.1", 9000};
    i.state = state;
    return i;
}

struct view_fixture {
    view_fixture() : view({}) {
        view.on_list(now, {5, {make_instance("w1"), make_instance("w2")}});
        (void)view.take_changes();
    }

    member_state state(const std::string& id) const { return view.find(id)->state; }

    common::time_point now{};
    membership_view view;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(membership_view_suite, view_fixture)

// Guards against a fleet that vanishes because the list cannot be read.
BOOST_AUTO_TEST_CASE(last_good_list_stays) {
    for (int i = 0; i < 1000; ++i) {
        now += 1s;
        view.on_list_failed();
    }
    BOOST_TEST(view.members(instance_role::worker).size() == 2U);
    BOOST_TEST(view.failed_lists() == 1000U);
    BOOST_TEST((*view.last_good_list() == common::time_point{}));
}

// Guards against new work for members that leave or whose connections fail.
BOOST_AUTO_TEST_CASE(connections_and_list_change_the_state) {
    view.on_connection_failed(now, "w1");
    BOOST_TEST((state("w1") == member_state::live));
    view.on_connection_failed(now, "w1");
    BOOST_TEST((state("w1") == member_state::suspected));
    view.on_heard(now, "w1");
    BOOST_TEST((state("w1") == member_state::live));
    view.on_list(now, {6, {make_instance("w1", instance_state::leaving), make_instance("w2")}});
    BOOST_TEST((state("w1") == member_state::leaving));
    const auto changes = view.take_changes();
    BOOST_REQUIRE(changes.size() == 3U);
    BOOST_TEST((changes[2].after == member_state::leaving));
}

// Guards against a lagging list that brings a leaving member back too early, or never.
BOOST_AUTO_TEST_CASE(own_statement_outweighs_the_lagging_list) {
    view.on_leaving(now, "w1");
    now += 10s;
    view.on_list(now, {6, {make_instance("w1"), make_instance("w2")}});
    BOOST_TEST((state("w1") == member_state::leaving));
    now += 21s;
    view.on_list(now, {7, {make_instance("w1"), make_instance("w2")}});
    BOOST_TEST((state("w1") == member_state::live));
}

// Guards against tasks that are started elsewhere because one list did not show their worker.
BOOST_AUTO_TEST_CASE(missing_member_is_gone_only_after_the_contract_time) {
    view.on_list(now, {6, {make_instance("w2")}});
    BOOST_TEST((state("w1") == member_state::suspected));
    now += 59s;
    view.on_list(now, {7, {make_instance("w2")}});
    BOOST_TEST(view.find("w1") != nullptr);
    view.on_list(now, {8, {make_instance("w1"), make_instance("w2")}});
    BOOST_TEST((state("w1") == member_state::live));
    view.on_list(now, {9, {make_instance("w2")}});
    now += 60s;
    view.on_list(now, {10, {make_instance("w2")}});
    BOOST_TEST(view.find("w1") == nullptr);
}

// Guards against an older list that undoes a newer one, and against a restarted index.
BOOST_AUTO_TEST_CASE(older_list_is_ignored_unless_it_persists) {
    const instance_snapshot older{4, {make_instance("w1", instance_state::leaving)}};
    view.on_list(now, older);
    view.on_list(now, older);
    BOOST_TEST((state("w1") == member_state::live));
    view.on_list(now, older);
    BOOST_TEST((state("w1") == member_state::leaving));
}

// Guards against a new process that inherits the suspicion of another at the same id.
BOOST_AUTO_TEST_CASE(new_address_starts_afresh) {
    view.on_connection_failed(now, "w1");
    view.on_connection_failed(now, "w1");
    instance moved = make_instance("w1");
    moved.address.port = 9001;
    view.on_list(now, {6, {moved, make_instance("w2")}});
    BOOST_TEST((state("w1") == member_state::live));
}

BOOST_AUTO_TEST_SUITE_END()
