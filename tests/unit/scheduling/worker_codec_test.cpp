#define BOOST_TEST_MODULE scheduling
#include "core/common/error.h"
#include "core/scheduling/worker_codec.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::scheduling;

BOOST_AUTO_TEST_SUITE(worker_codec_test)

// Guards against a field of the worker protocol that is lost or renamed in encoding or decoding.
BOOST_AUTO_TEST_CASE(sync_survives_the_round_trip) {
    sync_request request{"s1", 7, "a", 1000, 3, 6000, 2000, true, {"x@1.1"}, {}};
    request.operations.push_back(
        {worker_op::start, "t@7.1", "t", {500, 256, 1}, {40, true}, "t@7.0"});
    request.operations.push_back({worker_op::cancel, "u@7.2", "u", {}, {}, ""});
    const auto decoded = read_sync_request(to_json(request));
    BOOST_TEST(to_json(decoded) == to_json(request));
    BOOST_TEST(decoded.operations.at(0).payload.run_ms == 40);
    BOOST_TEST(decoded.operations.at(0).reservation == "t@7.0");
}

// Guards against a decoder that drops the running or ended tasks of an inventory.
BOOST_AUTO_TEST_CASE(inventory_survives_the_round_trip) {
    worker_inventory inventory;
    inventory.worker = "w1";
    inventory.incarnation = 2;
    inventory.capacity = {64000, 128000, 2};
    inventory.tasks.push_back({"t", "t@1.1", inventory_task_state::running, {1, 2, 3}, 99});
    inventory.ended.push_back({"u", "u@1.2", attempt_outcome::failed, true, 1});
    const auto decoded = read_inventory(to_json(inventory));
    BOOST_TEST(to_json(decoded) == to_json(inventory));
    BOOST_TEST(decoded.ended.size() == 1U);
}

// Guards against a rejection that is read as a normal response, and against an invalid body that
// terminates the process.
BOOST_AUTO_TEST_CASE(rejections_are_typed) {
    const auto stale = read_rejection(rejection_json({worker_error_kind::stale_epoch, 9}));
    BOOST_TEST((stale.kind == worker_error_kind::stale_epoch));
    BOOST_TEST(stale.accepted_epoch == 9U);
    BOOST_TEST((read_rejection("{").kind == worker_error_kind::bad_answer));
    BOOST_CHECK_THROW((void)read_sync_response("[]"), common::format_error);
}

BOOST_AUTO_TEST_SUITE_END()
