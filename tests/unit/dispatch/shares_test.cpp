#include "unit/dispatch/dispatch_fixture.h"

#include "core/dispatch/job_shares.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

/// A fleet of eight workers under the jobs of several customers. Runs end after their estimates.
struct shared_fleet : dispatch_fixture {
    struct stream {
        std::string customer;
        double per_second = 0.0;
        job_spec spec;
        double due = 0.0;
    };

    shared_fleet() {
        auto urgent = plain_queue("urgent");
        urgent.priority = 0;
        auto bulk = plain_queue("bulk");
        bulk.priority = 2;
        bulk.slack_factor = 4.0;
        bulk.target_ms = 3000;
        engine.on_queues({urgent, plain_queue(), bulk});
        for (int i = 0; i < 8; ++i) {
            m_workers.push_back("w" + std::to_string(i));
        }
        become_owner(m_workers);
    }

    static customers::customer_settings customer(const std::string& name, double weight) {
        return {name, {}, weight, {}};
    }

    static job_spec shape(std::uint32_t tasks, std::int64_t cpu_milli, const std::string& queue,
                          bool gang = false) {
        auto spec = job("", tasks, cpu_milli, queue);
        spec.steps[0].gang = gang;
        spec.steps[0].checkpointing = !gang;
        return spec;
    }

    void run(common::duration length, std::vector<stream> streams) {
        const auto end = now + length;
        while (now < end) {
            for (auto& from : streams) {
                for (from.due += from.per_second * 0.01; from.due >= 1.0; from.due -= 1.0) {
                    submit(from);
                }
            }
            run_one_round();
            for (const auto& start : take_starts()) {
                first_start.try_emplace(start.run.task.job, now);
                const auto& estimate = m_specs.at(start.run.task.job).steps[0].estimate_ms;
                m_ends.emplace(now + std::chrono::milliseconds(estimate), start);
            }
            while (!m_ends.empty() && m_ends.begin()->first <= now) {
                const auto start = m_ends.begin()->second;
                m_ends.erase(m_ends.begin());
                if (is_running(start.worker, start.run)) {
                    end_run(start.worker, start.run, run_end::succeeded);
                }
            }
            save();
            now += 10ms;
        }
    }

    void submit(const stream& from) {
        auto spec = from.spec;
        spec.id = from.customer + "-" + std::to_string(m_next++);
        spec.customer = from.customer;
        spec.accepted_ms = common::to_milliseconds(now);
        m_specs[spec.id] = spec;
        submitted[spec.id] = now;
        engine.on_job(now, spec, {}, 100 + m_next);
    }

    /// Longest time from submission to the first start, of a customer's jobs that were submitted at
    /// least this long before now.
    [[nodiscard]] common::duration longest_wait(const std::string& name,
                                                common::duration before = 1000ms) const {
        common::duration longest{0};
        for (const auto& [id, at] : submitted) {
            if (id.starts_with(name + "-") && at + before < now) {
                const auto begun = first_start.find(id);
                longest =
                    std::max(longest, (begun == first_start.end() ? now : begun->second) - at);
            }
        }
        return longest;
    }

    [[nodiscard]] std::size_t begun_jobs(const std::string& name) const {
        return static_cast<std::size_t>(
            std::count_if(first_start.begin(), first_start.end(), [&name](const auto& entry) {
                return entry.first.starts_with(name + "-");
            }));
    }

    std::map<std::string, common::time_point> submitted;
    std::map<std::string, common::time_point> first_start;

private:
    std::vector<std::string> m_workers;
    std::map<std::string, job_spec> m_specs;
    std::multimap<common::time_point, start_order> m_ends;
    std::uint64_t m_next = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shares_suite, shared_fleet)

// Pattern: one customer at 7.5 times its rate. 32 tasks of 16 cores run at a time, each for 1 s.
// Guards against others that wait behind the jobs of a hot customer, and against room that is left
// unused while it has jobs.
BOOST_AUTO_TEST_CASE(a_hot_customer_does_not_slow_the_others) {
    const auto task = shape(1, 16 * cores, "q");
    const std::vector<stream> streams{{"a", 7.0, task}, {"b", 7.0, task}, {"hot", 75.0, task}};
    engine.on_customers({customer("a", 10.0), customer("b", 10.0), customer("hot", 10.0)});
    run(8s, streams);
    BOOST_TEST(longest_wait("a").count() < 700'000);
    BOOST_TEST(longest_wait("b").count() < 700'000);
    BOOST_TEST(begun_jobs("hot") >= 80U);
    BOOST_TEST(engine.waiting().of(wait_cause::share) > 0U);
    BOOST_TEST(engine.waiting().describe().find("share:") != std::string::npos);
}

// Guards against deployments without customers that are served in another order than before.
BOOST_AUTO_TEST_CASE(without_customers_the_order_is_by_urgency_alone) {
    const auto task = shape(1, 16 * cores, "q");
    run(4s, {{"a", 9.0, task}, {"hot", 75.0, task}});
    BOOST_TEST(longest_wait("a").count() > 1'000'000);
    BOOST_TEST(engine.waiting().of(wait_cause::share) == 0U);
}

// Pattern: twenty customers, a few of them large, with room for four fifths of what they send.
// Guards against small customers that pay for the large ones.
BOOST_AUTO_TEST_CASE(each_of_twenty_customers_is_served_up_to_its_weight) {
    std::vector<customers::customer_settings> settings;
    std::vector<stream> streams;
    for (int i = 0; i < 20; ++i) {
        const auto name = "c" + std::to_string(i) + "x";
        const double weight = i < 3 ? 24.0 : 2.5;
        settings.push_back(customer(name, weight));
        // 128 tasks of 4 cores run at a time; the weights sum up to 114.5 a second.
        streams.push_back({name, weight * 1.4, shape(1, 4 * cores, "q")});
    }
    engine.on_customers(settings);
    run(10s, streams);
    for (const auto& [name, keys, weight, cap] : settings) {
        BOOST_TEST_CONTEXT(name) {
            BOOST_TEST(begun_jobs(name) >= static_cast<std::size_t>(weight * 9.0));
        }
    }
}

// Pattern: a customer whose jobs are all wide gangs, beside others that fill every gap. Guards
// against gangs that never find the room together.
BOOST_AUTO_TEST_CASE(a_customer_with_wide_gangs_is_served_beside_excess) {
    engine.on_customers({customer("gangs", 2.0), customer("calm", 10.0), customer("hot", 5.0)});
    run(10s, {{"gangs", 0.5, shape(12, 16 * cores, "q", true)},
              {"calm", 8.0, shape(1, 8 * cores, "bulk")},
              {"hot", 60.0, shape(1, 8 * cores, "bulk")}});
    BOOST_TEST(begun_jobs("gangs") >= 3U);
    BOOST_TEST(longest_wait("gangs", 3000ms).count() < 2'500'000);
    BOOST_TEST(longest_wait("calm").count() < 2'500'000);
}

// Pattern: a wide gang for which runs are stopped beside a stream of more urgent tasks. Guards
// against room that others take as soon as the stopped runs have ended, so that the gang stops
// further runs again and again and never starts.
BOOST_AUTO_TEST_CASE(room_freed_for_a_gang_is_kept_for_it) {
    engine.on_customers(
        {customer("patient", 100.0), customer("gangs", 10.0), customer("u", 100.0)});
    auto filler = shape(1, 16 * cores, "bulk");
    filler.steps[0].estimate_ms = 6000;
    stops_take_time = true;
    run(1s, {{"patient", 40.0, filler}});
    auto quick = shape(1, 8 * cores, "q");
    quick.steps[0].estimate_ms = 200;
    const stream gang{"gangs", 0.0, shape(7, 16 * cores, "q", true)};
    submit(gang);
    std::set<run_key> stopped;
    for (int round = 0; round < 8; ++round) {
        run(250ms, {{"u", 20.0, quick}, {"patient", 20.0, filler}});
        for (const auto& stop : std::exchange(stops, {})) {
            if (stopped.insert(stop.run).second) {
                end_run(stop.worker, stop.run, run_end::stopped, "saved");
            }
        }
    }
    BOOST_TEST(begun_jobs("gangs") == 1U);
    BOOST_TEST(stopped.size() <= 10U);
}

// Guards against a new owner that takes stored jobs for a burst because it reads them together, and
// against clocks of nodes that differ by seconds.
BOOST_AUTO_TEST_CASE(a_new_owner_decides_by_the_times_of_acceptance) {
    job_shares shares;
    shares.set_customers({customer("a", 10.0)});
    const auto add = [&](std::uint64_t revision, std::int64_t accepted_ms, const char* node) {
        job_entry entry;
        entry.revision = revision;
        entry.spec = job("j" + std::to_string(revision), 1, cores);
        entry.spec.customer = "a";
        entry.spec.accepted_ms = accepted_ms;
        entry.spec.accepted_by = node;
        shares.add(entry, false);
    };
    const auto count_excess = [&](std::uint64_t from, std::uint64_t to) {
        std::size_t count = 0;
        for (auto revision = from; revision < to; ++revision) {
            count += shares.is_excess("j" + std::to_string(revision)) ? 1U : 0U;
        }
        return count;
    };
    for (std::uint64_t i = 0; i < 100; ++i) {
        const auto sent = static_cast<std::int64_t>(i) * 100;
        add(i, i % 2 == 0 ? sent : sent + 8000, i % 2 == 0 ? "n1" : "n2");
    }
    shares.settle(now, {64 * cores, 1024, 0});
    BOOST_TEST(count_excess(0, 100) == 0U);
    for (std::uint64_t i = 100; i < 200; ++i) {
        add(i, 10'000, "n1");
    }
    shares.settle(now, {64 * cores, 1024, 0});
    BOOST_TEST(count_excess(100, 200) >= 75U);
}

// Pattern: more entitled work than room. Guards against steps that are late already and make all
// others late, and against late steps that wait forever.
BOOST_AUTO_TEST_CASE(late_steps_go_behind_those_that_can_meet_their_objective) {
    job_shares shares;
    shares.set_customers({customer("a", 10.0)});
    const auto place = [&](const char* name, common::time_point at, common::time_point start) {
        return shares.place(at, {1, start, {name, 0, 0, 0}}, {start, 10s});
    };
    BOOST_TEST((place("old", now, now + 1s) < place("new", now, now + 2s)));
    BOOST_TEST(shares.take_aged(now).empty());
    const auto late = now + 1s;
    BOOST_TEST(shares.take_aged(late) == std::vector<std::string>{"old"});
    BOOST_TEST((place("new", late, now + 2s) < place("old", late, now + 1s)));
    const auto first_again = now + 16s;
    const auto changed = shares.take_aged(first_again);
    BOOST_TEST(std::count(changed.begin(), changed.end(), "old") == 1);
    BOOST_TEST((place("old", first_again, now + 1s) < place("last", first_again, now + 20s)));
    // Without customers the order is by deadline alone.
    shares.set_customers({});
    BOOST_TEST((place("old", late, now + 1s) < place("new", late, now + 2s)));
}

BOOST_AUTO_TEST_SUITE_END()
