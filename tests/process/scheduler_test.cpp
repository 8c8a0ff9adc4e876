#define BOOST_TEST_MODULE process_scheduler
#include "core/common/counters.h"
#include "core/peer/peer_handler.h"
#include "core/peer/peer_node.h"
#include "process/cluster.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace buckthornspar;
using namespace buckthornspar::process_test;
using namespace std::chrono_literals;

namespace {

/// Calls schedulers as an entry does.
class scheduler_caller final : public peer::peer_handler {
public:
    scheduler_caller() : m_node({"127.0.0.1", 0}, *this, {}, m_counters) {}

    void on_heartbeat(const peer::heartbeat&,
                      std::function<void(peer::heartbeat)> complete) override {
        complete({});
    }

    /// Calls the schedulers in turn until one that owns the shard accepts or refuses the call.
    peer::job_reply call(cluster& c, peer::job_operation operation, const std::string& job_or_id) {
        peer::job_reply reply;
        (void)wait_until(
            [&] {
                for (auto* const m : c.of_role("scheduler")) {
                    reply = call_one(m->peer, operation, job_or_id);
                    if (reply.status == peer::reply_status::ok ||
                        reply.status == peer::reply_status::refused) {
                        return true;
                    }
                }
                return false;
            },
            15s);
        return reply;
    }

private:
    peer::job_reply call_one(const net::endpoint& to, peer::job_operation operation,
                             const std::string& job_or_id) {
        peer::job_call call;
        call.operation = operation;
        call.from = {"test", "entry", 0};
        call.shard = "s1";
        call.job_or_id = job_or_id;
        call.deadline_ms = 2000;
        const auto promise = std::make_shared<std::promise<peer::job_reply>>();
        m_node.call_job(to, call, [promise](const peer::job_reply& r) { promise->set_value(r); });
        return promise->get_future().get();
    }

    common::counters m_counters;
    peer::peer_node m_node;
};

cluster_options schedulers_with_a_config() {
    cluster_options options;
    options.entries = 0;
    options.runners = 0;
    return options;
}

struct scheduler_fixture {
    cluster processes{schedulers_with_a_config()};
    scheduler_caller caller;

    bool wait_for_state(const std::string& job, const std::string& state) {
        return wait_until(
            [&] {
                const auto reply = caller.call(processes, peer::job_operation::status, job);
                return reply.body.find("\"state\":\"" + state + "\"") != std::string::npos;
            },
            20s);
    }

    static std::string job(const std::string& id, int run_ms, bool idempotent = true) {
        return R"({"id":")" + id + R"(","team":"t","kind":"batch","idempotent":)" +
               (idempotent ? "true" : "false") +
               R"(,"tasks":3,"demand":{"cpu_milli":500,"memory_mb":100},"run_ms":)" +
               std::to_string(run_ms) + "}";
    }

    std::string owner() {
        std::string found;
        (void)wait_until(
            [&] {
                for (auto* const m : processes.of_role("scheduler")) {
                    if (m->process.running() &&
                        m->process.log().find("state=active") != std::string::npos) {
                        found = m->id;
                    }
                }
                return !found.empty();
            },
            15s);
        return found;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(scheduler_test, scheduler_fixture)

// Guards against a scheduler that accepts a job and never runs it on a worker.
BOOST_AUTO_TEST_CASE(job_runs_and_is_reported) {
    const auto accepted = caller.call(processes, peer::job_operation::submit, job("a", 300));
    BOOST_REQUIRE((accepted.status == peer::reply_status::ok));
    BOOST_TEST(wait_for_state("a", "succeeded"), processes.logs());
    const auto invalid = caller.call(processes, peer::job_operation::submit, "{}");
    BOOST_TEST(invalid.error_type == "invalid_job");
    BOOST_TEST(invalid.error_field == "id");
}

// Guards against a take-over from a killed owner that loses accepted jobs.
BOOST_AUTO_TEST_CASE(job_survives_the_owner) {
    const auto accepted = caller.call(processes, peer::job_operation::submit, job("b", 8000));
    BOOST_REQUIRE((accepted.status == peer::reply_status::ok));
    BOOST_TEST(wait_for_state("b", "running"), processes.logs());
    const std::string first = owner();
    BOOST_REQUIRE(!first.empty());
    processes.at(first).process.kill();
    BOOST_TEST(wait_for_state("b", "succeeded"), processes.logs());
}

// Guards against a planned stop that hangs or leaves the shard without an owner.
BOOST_AUTO_TEST_CASE(planned_stop_hands_over) {
    const std::string first = owner();
    BOOST_REQUIRE(!first.empty());
    BOOST_TEST(processes.at(first).process.terminate(10s) == 0);
    const auto accepted = caller.call(processes, peer::job_operation::submit, job("c", 100));
    BOOST_TEST((accepted.status == peer::reply_status::ok));
    BOOST_TEST(wait_for_state("c", "succeeded"), processes.logs());
}

BOOST_AUTO_TEST_SUITE_END()
