#include "core/common/rng.h"
#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <sstream>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

/// FNV-1a over lines of text.
class line_digest {
public:
    void add(const std::string& line) {
        for (const char c : line + "\n") {
            m_value = (m_value ^ static_cast<unsigned char>(c)) * 0x100000001B3U;
        }
        ++m_lines;
    }

    [[nodiscard]] std::string text() const {
        std::ostringstream out;
        out << std::hex << m_value << std::dec << " " << m_lines;
        return out.str();
    }

private:
    std::uint64_t m_value = 0xCBF29CE484222325U;
    std::size_t m_lines = 0;
};

dispatcher_settings settings_with(placement_order order, std::size_t max_pending_starts) {
    dispatcher_settings settings;
    settings.order = order;
    settings.max_pending_starts = max_pending_starts;
    return settings;
}

/// A service under random load with at most a few hundred waiting steps. The digest covers every
/// start, stop and ticket request in order.
class random_service : public dispatch_fixture {
public:
    random_service(std::uint64_t seed, placement_order order)
        : dispatch_fixture(settings_with(order, seed % 3 == 0 ? 40 : 0)),
          m_order(order),
          m_random(seed) {
        auto urgent = ticket_queue("urgent");
        urgent.priority = 0;
        auto bulk = ticket_queue("bulk");
        bulk.priority = 2;
        bulk.ticket_per_worker_ms = 6;
        engine.on_queues({urgent, bulk, plain_queue("plain")});
        engine.set_requesting_nodes(10);
        for (int i = 0; i < 24; ++i) {
            m_workers.push_back("w" + std::to_string(i));
        }
        become_owner(m_workers);
        for (const auto& id : m_workers) {
            engine.on_worker(now, describe(id));
        }
    }

    std::string run() {
        constexpr int rounds = 120;
        for (int round = 0; round < rounds; ++round) {
            // Most jobs come in two bursts.
            const bool burst = round % 60 < 8;
            for (auto count = m_random.below(burst ? 16 : 2); count > 0; --count) {
                submit();
            }
            answer_requests();
            end_some_runs();
            disturb();
            advance(20ms, 10ms);
            record();
        }
        return m_digest.text();
    }

private:
    worker_report describe(const std::string& id) {
        auto result = report(id, static_cast<std::int64_t>(8 + m_random.below(25)) * cores);
        result.rack = "r" + std::to_string(m_random.below(4));
        if (m_random.chance(0.3)) {
            result.labels.insert("fast");
        }
        return result;
    }

    step_spec random_step(std::uint32_t number) {
        step_spec step;
        step.count = 1 + static_cast<std::uint32_t>(m_random.below(6));
        step.demand = {static_cast<std::int64_t>(1 + m_random.below(12)) * cores,
                       static_cast<std::int64_t>(1000 + m_random.below(30'000)), 0};
        step.estimate_ms = static_cast<std::int64_t>(100 + m_random.below(3000));
        step.gang = m_random.chance(0.4);
        step.same_rack = m_random.chance(0.2);
        step.checkpointing = m_random.chance(0.6);
        step.max_per_worker =
            m_random.chance(0.2) ? 1 + static_cast<std::uint32_t>(m_random.below(2)) : 0;
        if (m_random.chance(0.15)) {
            step.required_label = "fast";
        }
        if (m_random.chance(0.2)) {
            step.preferred_rack = "r" + std::to_string(m_random.below(4));
        }
        if (number > 0 && m_random.chance(0.7)) {
            step.after.push_back(number - 1);
        }
        return step;
    }

    void submit() {
        constexpr std::array queues{"urgent", "urgent", "bulk", "plain"};
        job_spec spec;
        spec.id = "j" + std::to_string(m_random.below(1'000'000));
        spec.queue = queues[m_random.below(queues.size())];
        const auto steps = 1 + m_random.below(3);
        for (std::uint32_t s = 0; s < steps; ++s) {
            spec.steps.push_back(random_step(s));
        }
        engine.on_job(now, spec, {}, 11);
        m_jobs.push_back(spec.id);
    }

    void answer_requests() {
        for (; m_answered < advice.size(); ++m_answered) {
            const auto& call = advice[m_answered];
            advice_result result;
            result.answered = !m_random.chance(0.05);
            for (const auto& id : call.request.workers) {
                if (result.answered && is_granted(call.request.step, id)) {
                    result.granted.push_back({id, "k" + std::to_string(call.id) + id});
                }
            }
            engine.on_advice_result(now, call.id, result);
        }
    }

    // The set of granted workers of a step does not change.
    [[nodiscard]] static bool is_granted(const task_key& step, const std::string& worker) {
        line_digest digest;
        digest.add(to_string(step) + worker);
        return digest.text().front() < '8';
    }

    void end_some_runs() {
        for (const auto& id : m_workers) {
            const auto runs = running[id];
            for (const auto& item : runs) {
                if (m_random.chance(0.06)) {
                    const auto how = m_random.chance(0.1) ? run_end::failed : run_end::succeeded;
                    end_run(id, item.run, how);
                }
            }
        }
    }

    void disturb() {
        if (m_random.chance(0.1) && !m_jobs.empty()) {
            engine.on_cancel(now, m_jobs[m_random.below(m_jobs.size())]);
        }
        if (m_random.chance(0.05)) {
            auto changed = report(m_workers[m_random.below(m_workers.size())], 16 * cores);
            changed.draining = m_random.chance(0.5);
            engine.on_worker(now, changed);
        }
        // A delayed task changes the size of its step for a moment, which only the order by size
        // shows.
        if (m_order != placement_order::smallest && m_random.chance(0.05)) {
            accept_starts = false;
            advance(10ms, 10ms);
            accept_starts = true;
            for (auto i = m_recorded_starts; i < starts.size(); ++i) {
                const auto& order = starts[i];
                const auto& known = running[order.worker];
                const bool accepted =
                    std::any_of(known.begin(), known.end(), [&order](const running_run& item) {
                        return item.run == order.run;
                    });
                if (!accepted && m_refused.insert(order.run).second) {
                    engine.on_start_result(now, order, {order_status::no_room, clock_ms()});
                }
            }
        }
        save();
    }

    void record() {
        for (; m_recorded_starts < starts.size(); ++m_recorded_starts) {
            const auto& order = starts[m_recorded_starts];
            m_digest.add("start " + to_string(order.run.task) + " " +
                         std::to_string(order.run.run) + " " + order.worker + " " + order.ticket);
        }
        for (; m_recorded_stops < stops.size(); ++m_recorded_stops) {
            const auto& order = stops[m_recorded_stops];
            m_digest.add("stop " + to_string(order.run.task) + " " + order.worker);
        }
        for (; m_recorded_advice < advice.size(); ++m_recorded_advice) {
            const auto& call = advice[m_recorded_advice];
            std::string line = "ask " + to_string(call.request.step);
            for (const auto& id : call.request.workers) {
                line += " " + id;
            }
            m_digest.add(line);
        }
    }

    placement_order m_order;
    common::rng m_random;
    std::vector<std::string> m_workers;
    std::vector<std::string> m_jobs;
    std::set<run_key> m_refused;
    std::size_t m_answered = 0;
    std::size_t m_recorded_starts = 0;
    std::size_t m_recorded_stops = 0;
    std::size_t m_recorded_advice = 0;
    line_digest m_digest;
};

} // namespace

BOOST_AUTO_TEST_SUITE(decision_trace_suite)

// Guards against changes of starts, stops, preemptions and ticket requests by work on the cost of
// plans. The expected digests are those of the planner with requests for advice that are bound to
// what can be answered and placed, and with tasks that ask about further workers when the granted
// ones are full. A change that is meant to decide differently replaces them.
BOOST_AUTO_TEST_CASE(decisions_with_a_small_backlog_are_unchanged) {
    const std::vector<std::string> expected{
        "fb8012cef72bbf11 1299", "a0a2c4fc9df79b14 1145", "adf768040cd8d405 1208",
        "273516bad7d4ad2a 1161", "ff64204387c7368d 1418", "4d67d2eb6accdbcb 1359",
        "b71d9f0313ae0806 1344", "ae6ddace53a996f6 1003", "516ce79bd82872db 1471",
        "eb26a28fcd987eb4 1551", "883a3cd7c269179c 1247", "47ec8b08392b32c3 1585",
        "41270040b4f9821b 1513", "4af4f748f35f6a8d 1435", "76071cc22718d0e6 1383",
        "e34d71c157743080 1064", "ed76053f38b114ec 1161", "aef398cf1dbf34e2 1226",
        "a177e4fe074a14b9 1073", "357680a92237041f 1576", "e5935c3750884de 1375",
        "1a7a8aa5ddb7a9cc 1365", "dc3343429f1df33f 1396", "dcc25b0e56cf969f 1251"};
    for (std::uint64_t seed = 1; seed <= expected.size(); ++seed) {
        const auto order = seed % 8 == 0   ? placement_order::smallest
                           : seed % 4 == 0 ? placement_order::arrival
                                           : placement_order::deadline;
        const auto digest = random_service(seed, order).run();
        BOOST_TEST(digest == expected[seed - 1], "seed " << seed << ": " << digest);
    }
}

BOOST_AUTO_TEST_SUITE_END()
