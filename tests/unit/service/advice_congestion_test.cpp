#include "core/service/advice_balancer.h"
#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace std::chrono_literals;

namespace {

constexpr auto work_time = 3s;
constexpr std::size_t worker_count = 48;

/// An owner with nodes that call the advice service, which handles one call of each node at a time.
/// A quarter of the workers is granted to a step.
struct congestion_fixture : dispatch::test::dispatch_fixture {
    congestion_fixture() {
        auto queue = ticket_queue("gangs");
        queue.ticket_base_ms = 650;
        queue.ticket_per_worker_ms = 9;
        engine.on_queues({queue});
        for (int node = 0; node < 8; ++node) {
            balancer.add_node("n" + std::to_string(node));
        }
        engine.set_requesting_nodes(balancer.node_count());
        std::vector<std::string> workers;
        for (std::size_t worker = 0; worker < worker_count; ++worker) {
            workers.push_back("w" + std::to_string(worker));
        }
        become_owner(workers);
    }

    void submit_gang(int number) {
        auto spec = job("g" + std::to_string(number), 8, 18'000, "gangs");
        spec.steps[0].gang = true;
        spec.steps[0].estimate_ms = 3000;
        engine.on_job(now, spec, {}, 11);
    }

    static bool is_granted(const std::string& job, const std::string& worker) {
        return (std::stoul(job.substr(1)) + std::stoul(worker.substr(1))) % 4 == 0;
    }

    void answer_due_calls() {
        for (auto& [node, queued] : calls) {
            if (queued.empty() || now < queued.front().due) {
                continue;
            }
            const auto done = queued.front();
            queued.erase(queued.begin());
            if (!queued.empty()) {
                queued.front().due = now + queued.front().call.expected;
            }
            dispatch::advice_result result;
            result.answered = true;
            for (const auto& worker : done.call.request.workers) {
                if (is_granted(done.call.request.step.job, worker)) {
                    result.granted.push_back({worker, "t"});
                }
            }
            balancer.complete(node, done.call.id, now);
            longest_answer = std::max(longest_answer, now - asked.at(done.call.id));
            engine.on_advice_result(now, done.call.id, result);
        }
    }

    void send_calls() {
        for (; submitted < advice.size(); ++submitted) {
            asked[advice[submitted].id] = now;
            balancer.submit(advice[submitted]);
        }
        for (const auto& assigned : balancer.take_ready(now)) {
            calls[assigned.node].push_back({assigned.call, now + assigned.call.expected});
        }
    }

    void end_due_runs() {
        for (const auto& order : take_starts()) {
            ends.emplace_back(now + work_time, order);
            ++started;
        }
        std::erase_if(ends, [this](const auto& end) {
            if (now >= end.first) {
                end_run(end.second.worker, end.second.run, dispatch::run_end::succeeded);
            }
            return now >= end.first;
        });
    }

    void play(common::duration length) {
        const auto end = now + length;
        while (now < end) {
            answer_due_calls();
            engine.set_advice_slots(balancer.free_slots(now));
            run_one_round();
            send_calls();
            end_due_runs();
            save();
            now += 10ms;
        }
    }

    struct active_call {
        dispatch::advice_call call;
        common::time_point due;
    };
    advice_balancer balancer;
    std::map<std::string, std::vector<active_call>> calls;
    std::map<std::uint64_t, common::time_point> asked;
    std::vector<std::pair<common::time_point, dispatch::start_order>> ends;
    std::size_t submitted = 0;
    std::size_t started = 0;
    common::duration longest_answer{0};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(advice_congestion_suite, congestion_fixture)

// Guards against gangs that could run and do not (LOST): the requests of a backlog waited behind
// one another until the tickets, or the room that they were meant for, were gone, and were made
// again.
BOOST_AUTO_TEST_CASE(a_backlog_of_gangs_is_not_held_up_by_its_requests_for_advice) {
    for (int gang = 0; gang < 60; ++gang) {
        submit_gang(gang);
    }
    play(60s);
    // A call of its node may be in progress when a request is sent.
    const auto longest_call = std::chrono::milliseconds(650 + 9 * worker_count);
    BOOST_TEST((longest_answer <= 2 * longest_call));
    BOOST_TEST(engine.jobs().empty());
    BOOST_TEST(started == 60U * 8U);
}

BOOST_AUTO_TEST_SUITE_END()
