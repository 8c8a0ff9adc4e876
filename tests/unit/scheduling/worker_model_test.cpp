#include "fakes/worker_model.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::scheduling;

namespace {

struct model_fixture {
    fakes::worker_model model{"w1", {1000, 1000, 0}};

    static sync_request message(std::uint64_t epoch, std::int64_t stamp_ms) {
        return {"s", epoch, "a", stamp_ms, 1, 6000, 2000, false, {}, {}};
    }

    operation_result run(std::int64_t now_ms, sync_request request, worker_operation operation) {
        request.operations = {std::move(operation)};
        return std::get<sync_response>(model.sync(now_ms, request)).results.at(0);
    }

    static worker_operation start(const std::string& attempt, std::int64_t run_ms = 0) {
        return {worker_op::start, attempt, "t", {600, 600, 0}, {run_ms, false}, ""};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(worker_model_test, model_fixture)

// Guards against a worker model that accepts what the platform contract forbids, which would hide
// faults of the engine.
BOOST_AUTO_TEST_CASE(start_is_checked) {
    BOOST_TEST((run(10, message(1, 0), start("a")).status == operation_status::accepted));
    BOOST_TEST((run(10, message(1, 0), start("a")).reason == operation_reason::duplicate));
    BOOST_TEST((run(10, message(1, 0), start("b")).reason == operation_reason::full));
    BOOST_TEST((run(3000, message(1, 0), start("c")).reason == operation_reason::expired));
}

// Guards against a start that arrives after its own cancellation and is executed.
BOOST_AUTO_TEST_CASE(cancel_fences_a_late_start) {
    worker_operation cancel{worker_op::cancel, "a", "t", {}, {}, ""};
    BOOST_TEST((run(5, message(1, 0), cancel).status == operation_status::accepted));
    BOOST_TEST((run(6, message(1, 0), start("a")).reason == operation_reason::cancelled));
    BOOST_TEST(model.starts().empty());
}

// Guards against a worker that obeys a superseded owner.
BOOST_AUTO_TEST_CASE(lower_epoch_is_rejected) {
    BOOST_TEST(std::holds_alternative<worker_inventory>(model.adopt(1, {"s", 5, "b"})));
    const auto result = model.sync(2, message(4, 0));
    BOOST_TEST((std::get<worker_error>(result).kind == worker_error_kind::stale_epoch));
}

// Guards against leases that do not count from their stamp, and against ended tasks that are
// removed before they are acknowledged.
BOOST_AUTO_TEST_CASE(lease_counts_from_the_stamp) {
    (void)run(1000, message(1, 500), start("a"));
    model.advance(6499);
    BOOST_TEST(model.running_tasks().size() == 1U);
    model.advance(6500);
    BOOST_TEST(model.running_tasks().empty());
    const auto inventory = model.inventory(7000);
    BOOST_TEST((inventory.ended.at(0).outcome == attempt_outcome::lapsed));
}

// Guards against reservations that hold resources forever.
BOOST_AUTO_TEST_CASE(reservation_ends_by_itself) {
    worker_operation reserve{worker_op::reserve, "r", "t", {600, 600, 0}, {}, ""};
    BOOST_TEST((run(10, message(1, 0), reserve).status == operation_status::accepted));
    model.advance(2000);
    BOOST_TEST((model.committed() == placement::resources{}));
    worker_operation late = start("a");
    late.reservation = "r";
    BOOST_TEST((run(2001, message(1, 2000), late).reason == operation_reason::expired));
}

BOOST_AUTO_TEST_SUITE_END()
