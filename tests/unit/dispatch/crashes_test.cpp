#include "unit/dispatch/dispatch_fixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

// A task under which two workers have crashed may be given up; after the third crash it may be
// started twice more.
constexpr std::size_t max_starts = 5;

class crash_fixture : public dispatch_fixture {
public:
    explicit crash_fixture(const std::vector<std::string>& workers = {"w1", "w2", "w3", "w4"},
                           const dispatcher_settings& settings = {})
        : dispatch_fixture(settings) {
        engine.on_queues({plain_queue()});
        become_owner(workers);
    }

    /// Lets time pass, during which each start of a deadly task crashes its worker after the delay.
    void play(common::duration length, common::duration delay = 20ms) {
        const auto end = now + length;
        while (now < end) {
            run_until_idle();
            save();
            for (const auto& start : take_starts()) {
                starts_of[start.run.task].push_back(start.worker);
                if (deadly.contains(start.run.task)) {
                    pending_crashes.emplace(now + delay, start.worker);
                }
            }
            now += 10ms;
            while (!pending_crashes.empty() && pending_crashes.begin()->first <= now) {
                const auto worker = pending_crashes.begin()->second;
                pending_crashes.erase(pending_crashes.begin());
                crash_worker(worker);
            }
        }
    }

    [[nodiscard]] std::optional<job_state> final_state(const std::string& id) const {
        for (const auto& change : changes) {
            if (change.job == id && is_final(change.state)) {
                return change.state;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] std::size_t starts_of_job(const std::string& id) const {
        std::size_t sum = 0;
        for (const auto& [task, workers] : starts_of) {
            sum += task.job == id ? workers.size() : 0;
        }
        return sum;
    }

    /// Worker of the last start of the first task of job "a".
    [[nodiscard]] std::string last_worker() const { return starts_of.at({"a", 0, 0, 0}).back(); }

    /// The worker answers neither the owner nor a peer.
    void silence(const std::string& worker) {
        unreachable[worker] = true;
        through_peer[worker] = peer_view::silent;
    }

    /// Lets time pass, during which each run ends by itself after the given time.
    void play_short_runs(common::duration length, common::duration run_time) {
        const auto end = now + length;
        std::map<run_key, common::time_point> since;
        while (now < end) {
            play(10ms);
            for (const auto& [worker, runs] : std::map(running)) {
                for (const auto& item : runs) {
                    if (now >= since.try_emplace(item.run, now).first->second + run_time) {
                        end_run(worker, item.run, run_end::succeeded);
                    }
                }
            }
        }
    }

    /// Submits job "b", which starts only when the suspected tasks that have just started have run
    /// for a while.
    void check_that_others_wait() {
        engine.on_job(now, job("b", 1, 1000), {}, 12);
        play(1s);
        BOOST_TEST(starts_of_job("b") == 0U);
        play(1s);
        BOOST_TEST(starts_of_job("b") == 1U);
    }

    [[nodiscard]] std::size_t running_tasks() const {
        std::size_t sum = 0;
        for (const auto& [worker, runs] : running) {
            sum += runs.size();
        }
        return sum;
    }

    void succeed(const task_key& task) {
        for (const auto& [worker, runs] : std::map(running)) {
            for (const auto& item : runs) {
                if (item.run.task == task) {
                    end_run(worker, item.run, run_end::succeeded);
                }
            }
        }
    }

    std::set<task_key> deadly;
    std::map<task_key, std::vector<std::string>> starts_of;
    std::multimap<common::time_point, std::string> pending_crashes;
};

job_progress stored_progress(const dispatch_fixture& f, const std::string& id) {
    const auto record = f.stored.find(id);
    return record == f.stored.end() ? job_progress{} : read_progress(id, record->second);
}

using incarnations_by_worker = std::map<std::string, std::int64_t>;

/// An owner that takes over with what the former one has stored. Workers that do not answer have
/// ended.
struct successor_fixture : dispatch_fixture {
    explicit successor_fixture(const incarnations_by_worker& born) {
        unreachable_status = order_status::not_sent;
        incarnations = born;
        engine.on_queues({plain_queue()});
    }

    /// The instance list has these incarnations. The job is older than the terms above 0.
    void begin_term(std::uint64_t term, const incarnations_by_worker& listed,
                    const std::string& record, const job_progress& progress) {
        for (const auto& [id, listed_born] : listed) {
            auto entry = report(id);
            entry.start_time_ms = listed_born;
            engine.on_worker(now, entry);
        }
        engine.take_over(now, 10 + 10 * term, record);
        engine.on_job(now, job("a", 1, 1000), progress, 11);
        settle();
    }

    /// Whether the task starts within a second.
    bool starts_soon() {
        for (int i = 0; i < 20 && starts.empty(); ++i) {
            advance(50ms);
            save();
        }
        return !starts.empty();
    }

    /// The worker of the first start ends shortly after it, and the owner stores what it knows
    /// before the lease of the worker is over.
    void lose_worker_of_start() {
        advance(60ms, 20ms);
        unreachable[starts.at(0).worker] = true;
        advance(500ms);
        save();
    }

    [[nodiscard]] bool has_failed() const {
        return std::any_of(changes.begin(), changes.end(), [](const state_change& change) {
            return change.state == job_state::failed;
        });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(crashes_suite)

// Guards against a task that crashes one worker after the other.
BOOST_AUTO_TEST_CASE(a_task_that_crashes_its_workers_is_given_up) {
    crash_fixture f;
    f.deadly = {{"a", 0, 0, 0}};
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.play(20s);
    BOOST_TEST(f.starts_of_job("a") >= 2U);
    BOOST_TEST(f.starts_of_job("a") <= 3U);
    BOOST_TEST((f.final_state("a") == job_state::failed));
}

// Guards against a count that is lost with the owner.
BOOST_AUTO_TEST_CASE(a_successor_knows_the_crashes) {
    std::size_t starts = 0;
    job_progress progress;
    bool failed = false;
    for (std::uint64_t term = 0; term < 8 && !failed; ++term) {
        crash_fixture f;
        f.deadly = {{"a", 0, 0, 0}};
        f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), progress, 11);
        // The owner is killed after the first crash of its term has been stored.
        while (f.starts_of_job("a") == 0) {
            f.play(10ms);
        }
        f.play(200ms);
        starts += f.starts_of_job("a");
        failed = f.final_state("a") == job_state::failed;
        progress = stored_progress(f, "a");
    }
    BOOST_TEST(failed);
    BOOST_TEST(starts <= 3U);
}

// Guards against a task that crashes a worker for each owner that is lost before the lease of the
// worker is over (random_growth, seed 832): the former owner had not counted the crash, and its
// successor did not know the run.
BOOST_AUTO_TEST_CASE(a_successor_counts_the_recorded_runs_of_crashed_workers) {
    for (const bool listed_again : {false, true}) {
        incarnations_by_worker born{{"w1", 1000}, {"w2", 1000}, {"w3", 1000}};
        auto listed = born;
        std::string record;
        job_progress progress;
        std::size_t starts = 0;
        bool failed = false;
        for (std::uint64_t term = 0; term < 6 && !failed; ++term) {
            successor_fixture f(born);
            f.begin_term(term, listed, record, progress);
            if (f.starts_soon()) {
                ++starts;
                f.lose_worker_of_start();
                listed = born;
                born[f.starts[0].worker] += 1000;
                if (listed_again) {
                    listed = born;
                }
            }
            failed = f.has_failed();
            record = f.worker_record;
            progress = stored_progress(f, "a");
        }
        BOOST_TEST(failed);
        BOOST_TEST(starts == 2U);
    }
}

// Guards against a run that is held against its task, or stopped, although its worker was only
// silent for a moment around a change of owner.
BOOST_AUTO_TEST_CASE(a_successor_withdraws_the_count_of_a_worker_that_answers) {
    const incarnations_by_worker born{{"w1", 1000}, {"w2", 1000}, {"w3", 1000}};
    successor_fixture former(born);
    former.begin_term(0, born, "", {});
    BOOST_REQUIRE(former.starts_soon());
    former.lose_worker_of_start();
    BOOST_REQUIRE(read_worker_record(former.worker_record).suspects.size() == 1U);

    successor_fixture f(born);
    const auto start = former.starts[0];
    f.running[start.worker] = {{start.run, "", 0}};
    f.begin_term(1, born, former.worker_record, stored_progress(former, "a"));
    f.advance(3s);
    f.save();
    BOOST_TEST(f.starts.empty());
    BOOST_TEST(f.stops.empty());
    BOOST_TEST(read_worker_record(f.worker_record).suspects.empty());
    const auto tasks = stored_progress(f, "a").tasks;
    const auto task = tasks.find({"a", 0, 0, 0});
    BOOST_TEST((task == tasks.end() || task->second.crashes == 0U));
}

// Guards against a crash that counts twice: the former owner has counted it, and a successor reads
// its record from before.
BOOST_AUTO_TEST_CASE(a_successor_does_not_count_a_crash_again) {
    const incarnations_by_worker born{{"w1", 1000}, {"w2", 1000}, {"w3", 1000}};
    successor_fixture former(born);
    former.begin_term(0, born, "", {});
    BOOST_REQUIRE(former.starts_soon());
    former.lose_worker_of_start();
    const auto record = former.worker_record;
    const auto worker = former.starts[0].worker;
    former.engine.on_worker_unlisted(former.now, worker);
    for (int i = 0; i < 200 && stored_progress(former, "a").tasks.empty(); ++i) {
        former.advance(50ms);
        former.save();
    }
    const auto progress = stored_progress(former, "a");
    BOOST_REQUIRE(progress.tasks.at({"a", 0, 0, 0}).crashes == 1U);
    BOOST_TEST(read_worker_record(former.worker_record).suspects.empty());

    successor_fixture f({{"w1", 2000}, {"w2", 2000}, {"w3", 2000}});
    f.begin_term(1, f.incarnations, record, progress);
    f.advance(1s);
    f.save();
    BOOST_TEST(!f.has_failed());
    BOOST_TEST(f.starts.size() == 1U);
}

// Guards against a successor that does not know of crashes although the task was started again, as
// by an owner that no longer reaches the store: only the first crash may not be stored.
BOOST_AUTO_TEST_CASE(a_suspected_task_waits_until_its_crashes_are_stored) {
    for (const bool first_is_stored : {false, true}) {
        dispatcher_settings settings;
        settings.crashes.attributed_limit = 3;
        crash_fixture f({"w1", "w2", "w3", "w4"}, settings);
        f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
        for (int crash = 0; crash < 2; ++crash) {
            f.advance(2s);
            const auto starts = f.take_starts();
            BOOST_REQUIRE(starts.size() == 1U);
            f.crash_worker(starts[0].worker);
            if (crash == 0 && first_is_stored) {
                f.run_until_idle();
                f.save();
            }
        }
        f.advance(3s);
        BOOST_TEST(f.take_starts().empty());
        f.save();
        f.advance(3s);
        BOOST_TEST(f.take_starts().size() == 1U);
    }
}

// Guards against a job that is given up without a cause (random_growth, seed 2149): a worker
// restarts, its next incarnation accepts a start, and the owner learns of the restart after that.
BOOST_AUTO_TEST_CASE(a_start_that_the_next_incarnation_accepts_is_not_suspected) {
    for (const bool accepted_by_next : {true, false}) {
        crash_fixture f;
        f.accept_starts = false;
        f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
        f.run_until_idle();
        const auto orders = f.take_starts();
        BOOST_REQUIRE(orders.size() == 1U);
        const std::int64_t clock_ms = accepted_by_next ? 50 : f.clock_ms();
        f.engine.on_start_result(f.now, orders[0], {order_status::accepted, clock_ms});
        f.crash_worker(orders[0].worker);
        f.advance(1s);
        f.save();
        const auto progress = stored_progress(f, "a").tasks[{"a", 0, 0, 0}];
        BOOST_TEST(progress.crashes == (accepted_by_next ? 0U : 1U));
    }
}

// Guards against giving up a task that was at work for some time when a newer one crashed their
// worker.
BOOST_AUTO_TEST_CASE(an_older_run_on_a_crashed_worker_is_not_suspected) {
    crash_fixture f({"w1"});
    f.deadly = {{"a", 0, 0, 0}};
    f.engine.on_job(f.now, dispatch_fixture::job("b", 4, 1000), {}, 11);
    f.play(1s);
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 12);
    f.play(20s);
    BOOST_TEST((f.final_state("a") == job_state::failed));
    BOOST_TEST(f.starts_of_job("a") <= 3U);
    BOOST_TEST(!f.final_state("b").has_value());
    BOOST_TEST(f.running["w1"].size() == 4U);
}

// Guards against giving up a task that started on the same worker together with one that crashes
// it: the two are told apart by starting them alone.
BOOST_AUTO_TEST_CASE(a_task_that_started_beside_a_deadly_one_is_not_given_up) {
    crash_fixture f;
    f.deadly = {{"a", 0, 0, 0}};
    for (const auto* const id : {"a", "b", "c", "d"}) {
        f.engine.on_job(f.now, dispatch_fixture::job(id, 1, 1000), {}, 11);
    }
    f.play(20s);
    BOOST_TEST((f.final_state("a") == job_state::failed));
    for (const auto* const id : {"b", "c", "d"}) {
        BOOST_TEST(!f.final_state(id).has_value());
        f.succeed({id, 0, 0, 0});
    }
    f.play(3s);
    for (const auto* const id : {"b", "c", "d"}) {
        BOOST_TEST((f.final_state(id) == job_state::completed));
    }
}

// Guards against a new suspicion of other tasks: none starts on the worker of a suspected one until
// the worker has survived it for a while.
BOOST_AUTO_TEST_CASE(nothing_starts_beside_a_suspected_task) {
    crash_fixture f({"w1"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.play(100ms);
    f.crash_worker("w1");
    while (f.starts_of_job("a") < 2) {
        f.play(10ms);
    }
    f.check_that_others_wait();
}

// Guards against a job that crashes many workers at once: of its suspected tasks one starts first.
BOOST_AUTO_TEST_CASE(suspected_tasks_of_a_step_start_one_after_the_other) {
    crash_fixture f;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 3, 1000), {}, 11);
    f.play(100ms);
    BOOST_REQUIRE(f.starts_of_job("a") == 3U);
    const std::set<std::string> used{f.starts_of.at({"a", 0, 0, 0})[0],
                                     f.starts_of.at({"a", 0, 0, 1})[0],
                                     f.starts_of.at({"a", 0, 0, 2})[0]};
    for (const auto& worker : used) {
        f.crash_worker(worker);
    }
    f.play(1s);
    BOOST_TEST(f.starts_of_job("a") == 4U);
    // The worker survives the first one, so the others follow, each on its own worker.
    f.play(5s);
    BOOST_TEST(f.starts_of_job("a") == 6U);
    BOOST_TEST(!f.final_state("a").has_value());
    std::set<std::string> last;
    for (const auto& [task, workers] : f.starts_of) {
        last.insert(workers.back());
    }
    BOOST_TEST(last.size() == 3U);
}

// Guards against lasting tasks that stand after the crash of their worker: many of them are
// suspected, and each starts alone on a worker for a while (LOST).
BOOST_AUTO_TEST_CASE(all_suspected_tasks_of_a_step_start_once_a_worker_has_survived_one) {
    crash_fixture f;
    auto service = dispatch_fixture::job("a", 100, 500);
    service.steps[0].demand.memory_mb = 100;
    service.steps[0].long_running = true;
    f.engine.on_job(f.now, service, {}, 11);
    f.play(4s);
    BOOST_REQUIRE(f.running_tasks() == 100U);
    const auto most =
        std::max_element(f.running.begin(), f.running.end(), [](const auto& a, const auto& b) {
            return a.second.size() < b.second.size();
        });
    BOOST_REQUIRE(most->second.size() > 16U);
    f.crash_worker(most->first);
    f.play(1s);
    BOOST_TEST(f.running_tasks() < 100U);
    for (int i = 0; i < 100 && f.running_tasks() < 100; ++i) {
        f.play(10ms);
    }
    BOOST_TEST(f.running_tasks() == 100U);
    // The tasks on one worker are still told apart from those of other jobs.
    f.check_that_others_wait();
}

// Guards against lasting tasks that never start again after the crash of their worker: the runs of
// the one that starts first end before it counts as survived (LOST).
BOOST_AUTO_TEST_CASE(a_run_that_ends_shows_that_its_worker_has_survived_it) {
    crash_fixture f({"w1", "w2"});
    auto service = dispatch_fixture::job("a", 4, 500);
    service.steps[0].long_running = true;
    f.engine.on_job(f.now, service, {}, 11);
    f.play_short_runs(3200ms, 1200ms);
    BOOST_REQUIRE(f.running_tasks() == 4U);
    const auto crashed = f.running["w1"].size() >= f.running["w2"].size() ? "w1" : "w2";
    f.crash_worker(crashed);
    f.play_short_runs(3s, 1200ms);
    f.starts_of.clear();
    f.play_short_runs(3s, 1200ms);
    BOOST_TEST(f.starts_of.size() == 4U);
    for (const auto& [task, workers] : f.starts_of) {
        BOOST_TEST(workers.size() >= 2U);
    }
}

// Guards against counting workers that crash by themselves: a run that was at work for long is no
// cause, and a suspicion ends when a worker survives the task.
BOOST_AUTO_TEST_CASE(a_task_that_workers_survive_is_not_given_up) {
    crash_fixture f;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    for (std::size_t i = 1; i <= 6; ++i) {
        f.play(200ms);
        BOOST_REQUIRE(f.starts_of_job("a") == i);
        if (i % 2 == 0) {
            f.play(12s);
        }
        f.crash_worker(f.last_worker());
        f.play(500ms);
    }
    BOOST_TEST(!f.final_state("a").has_value());
}

// Guards against giving up tasks when many workers crash at once, as with a rack: the crash has
// another cause than the tasks that had just started there.
BOOST_AUTO_TEST_CASE(workers_that_crash_together_have_another_cause) {
    std::vector<std::string> ids;
    ids.reserve(18);
    for (int i = 0; i < 18; ++i) {
        ids.push_back("w" + std::to_string(i));
    }
    crash_fixture f(ids);
    for (const auto* const id : {"a", "b", "c", "d", "e", "g"}) {
        f.engine.on_job(f.now, dispatch_fixture::job(id, 1, 40000), {}, 11);
    }
    for (int crash = 0; crash < 2; ++crash) {
        f.play(500ms);
        std::set<std::string> crashed;
        for (const auto& [task, workers] : f.starts_of) {
            crashed.insert(workers.back());
        }
        BOOST_REQUIRE(crashed.size() == 6U);
        for (const auto& id : crashed) {
            f.silence(id);
            f.engine.on_worker_unlisted(f.now, id);
        }
        f.play(9s);
    }
    for (const auto& [task, workers] : f.starts_of) {
        BOOST_TEST(!f.final_state(task.job).has_value());
        BOOST_TEST(workers.size() == 3U);
    }
}

// Guards against taking a planned leave for a crash.
BOOST_AUTO_TEST_CASE(a_worker_that_was_draining_has_not_crashed) {
    crash_fixture f;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    for (std::size_t i = 1; i <= 4; ++i) {
        f.play(500ms);
        BOOST_REQUIRE(f.starts_of_job("a") == i);
        const auto worker = f.last_worker();
        auto leaving = dispatch_fixture::report(worker);
        leaving.start_time_ms = f.incarnation_of(worker);
        leaving.draining = true;
        f.engine.on_worker(f.now, leaving);
        f.play(50ms);
        f.crash_worker(worker);
    }
    f.play(500ms);
    BOOST_TEST(f.starts_of_job("a") == 5U);
    BOOST_TEST(!f.final_state("a").has_value());
}

// Guards against taking a silent worker for a crashed one: it answers again as the same incarnation
// after its lease has ended.
BOOST_AUTO_TEST_CASE(a_silent_worker_has_not_crashed) {
    crash_fixture f;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    for (std::size_t i = 1; i <= 4; ++i) {
        while (f.starts_of_job("a") < i) {
            f.play(10ms);
        }
        const auto worker = f.last_worker();
        f.silence(worker);
        while (f.starts_of_job("a") < i + 1) {
            f.play(10ms);
        }
        f.running[worker].clear();
        f.unreachable[worker] = false;
        f.play(100ms);
    }
    BOOST_TEST(!f.final_state("a").has_value());
}

// Guards against jobs shown as failed without enough failures (LOST): the worker is cut off from
// the nodes and the store, so that it leaves the list while it lives. Then it crashes once.
BOOST_AUTO_TEST_CASE(a_worker_that_is_cut_off_and_removed_has_not_crashed) {
    crash_fixture f({"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"});
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    for (std::size_t i = 1; i <= 2; ++i) {
        f.play(500ms);
        BOOST_REQUIRE(f.starts_of_job("a") == i);
        const auto worker = f.last_worker();
        f.silence(worker);
        f.play(4500ms);
        f.engine.on_worker_unlisted(f.now, worker);
        f.play(4500ms);
        BOOST_TEST(f.engine.workers().find(worker) == nullptr);
    }
    BOOST_TEST(!f.final_state("a").has_value());
    f.crash_worker(f.last_worker());
    f.play(3s);
    BOOST_TEST(!f.final_state("a").has_value());
    BOOST_TEST(f.starts_of_job("a") == 4U);
}

// Guards against the same when the worker restarts after it was cut off: its runs may have ended
// before the crash.
BOOST_AUTO_TEST_CASE(a_restart_of_a_worker_that_was_cut_off_is_no_crash_of_its_runs) {
    crash_fixture f;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    for (std::size_t i = 1; i <= 3; ++i) {
        f.play(100ms);
        BOOST_REQUIRE(f.starts_of_job("a") == i);
        const auto worker = f.last_worker();
        f.unreachable[worker] = true;
        f.play(2s);
        f.unreachable[worker] = false;
        f.crash_worker(worker);
        f.play(2s);
    }
    BOOST_TEST(!f.final_state("a").has_value());
    BOOST_TEST(f.starts_of_job("a") == 4U);
}

// Guards against deadly tasks that are not found: a process that has ended refuses connections.
BOOST_AUTO_TEST_CASE(a_removed_worker_that_refused_connections_has_crashed) {
    crash_fixture f({"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"});
    f.unreachable_status = order_status::not_sent;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    for (std::size_t i = 1; i <= 2; ++i) {
        while (f.starts_of_job("a") < i) {
            f.play(10ms);
        }
        f.play(100ms);
        const auto worker = f.last_worker();
        f.silence(worker);
        f.engine.on_worker_unlisted(f.now, worker);
    }
    f.play(9s);
    BOOST_TEST((f.final_state("a") == job_state::failed));
}

// Guards against hundreds of suspected tasks, which start one by one, after a cut from many
// workers.
BOOST_AUTO_TEST_CASE(tasks_of_workers_that_fall_silent_together_are_not_suspected) {
    std::vector<std::string> ids;
    ids.reserve(12);
    for (int i = 0; i < 12; ++i) {
        ids.push_back("w" + std::to_string(i));
    }
    crash_fixture f(ids);
    f.engine.on_job(f.now, dispatch_fixture::job("a", 12, 40'000), {}, 11);
    f.play(100ms);
    BOOST_REQUIRE(f.starts_of_job("a") == 12U);
    for (std::size_t i = 0; i < 5; ++i) {
        f.silence(ids[i]);
        f.play(200ms);
    }
    f.play(6s);
    for (std::size_t i = 0; i < 5; ++i) {
        f.running[ids[i]].clear();
    }
    for (std::size_t i = 5; i < 12; ++i) {
        const auto runs = f.running[ids[i]];
        for (const auto& item : runs) {
            f.end_run(ids[i], item.run, run_end::succeeded);
        }
    }
    f.play(1s);
    BOOST_TEST(f.starts_of_job("a") == 17U);
}

// Guards against a gang that is given up too early: members that fail in the same run are one
// failed attempt of the gang.
BOOST_AUTO_TEST_CASE(members_that_fail_together_are_one_failed_attempt) {
    crash_fixture f;
    auto spec = dispatch_fixture::job("a", 3, 40000);
    spec.steps[0].gang = true;
    f.engine.on_job(f.now, spec, {}, 11);
    for (int attempt = 1; attempt <= 3; ++attempt) {
        f.play(500ms);
        BOOST_TEST(!f.final_state("a").has_value());
        for (const auto& [worker, runs] : std::map(f.running)) {
            for (const auto& item : runs) {
                f.end_run(worker, item.run, run_end::failed);
            }
        }
        f.play(5s);
    }
    BOOST_TEST((f.final_state("a") == job_state::failed));
}

// Guards against missing a crash that shows only after the lease: the worker is back late as a new
// incarnation, or it is gone for good.
BOOST_AUTO_TEST_CASE(a_worker_that_vanishes_under_a_task_counts_as_crashed) {
    for (const bool returns : {true, false}) {
        crash_fixture f({"w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8"});
        f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
        for (std::size_t i = 1; i <= max_starts + 1 && !f.final_state("a"); ++i) {
            f.play(500ms);
            BOOST_REQUIRE(f.starts_of_job("a") == i);
            const auto worker = f.last_worker();
            f.silence(worker);
            f.play(4500ms);
            f.engine.on_worker_unlisted(f.now, worker);
            f.play(4500ms);
            if (returns) {
                f.unreachable[worker] = false;
                f.crash_worker(worker);
            }
        }
        BOOST_TEST((f.final_state("a") == job_state::failed));
        BOOST_TEST(f.starts_of_job("a") <= max_starts);
    }
}

// Guards against a gang that crashes workers without limit, and against members that work on when
// their job has been given up.
BOOST_AUTO_TEST_CASE(a_gang_with_a_deadly_member_is_given_up) {
    crash_fixture f;
    auto spec = dispatch_fixture::job("a", 3, 40000);
    spec.steps[0].gang = true;
    f.deadly = {{"a", 0, 0, 1}};
    f.engine.on_job(f.now, spec, {}, 11);
    f.play(20s);
    BOOST_TEST((f.final_state("a") == job_state::failed));
    BOOST_TEST((f.starts_of.at({"a", 0, 0, 1}).size() <= 3U));
    for (const auto& [worker, runs] : f.running) {
        BOOST_TEST(runs.empty());
    }
}

// Guards against crashes that a successor does not know, because the store still held the counts of
// crashes that had been cleared.
BOOST_AUTO_TEST_CASE(new_crashes_after_clearing_are_not_taken_for_stored) {
    dispatcher_settings settings;
    settings.crashes.attributed_limit = 9;
    settings.crashes.ambiguous_limit = 9;
    settings.crashes.silence_limit = 9;
    crash_fixture f({"w1", "w2", "w3", "w4"}, settings);
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    for (int crash = 0; crash < 3; ++crash) {
        f.advance(2s);
        f.save();
        const auto starts = f.take_starts();
        BOOST_REQUIRE(starts.size() == 1U);
        f.crash_worker(starts[0].worker);
        f.run_until_idle();
        f.save();
    }
    f.advance(2s);
    f.save();
    auto starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 1U);
    BOOST_TEST(stored_progress(f, "a").tasks.at({"a", 0, 0, 0}).crashes == 3U);
    for (int i = 0; i < 12; ++i) {
        f.advance(1s);
        f.save();
    }
    const auto progress = stored_progress(f, "a");
    BOOST_TEST((!progress.tasks.contains({"a", 0, 0, 0}) ||
                progress.tasks.at({"a", 0, 0, 0}).crashes == 0U));
    // From here on, the store does not answer.
    std::size_t unstored_starts = 0;
    for (int i = 0; i < 5; ++i) {
        f.crash_worker(starts[0].worker);
        f.advance(3s);
        starts = f.take_starts();
        if (starts.empty()) {
            break;
        }
        ++unstored_starts;
    }
    // The run of the first crash is too old to be its cause.
    BOOST_TEST(unstored_starts <= 2U);
}

// Guards against silence that counts as a crash: the worker was cut off and restarts later, and one
// poll meets its closed port.
BOOST_AUTO_TEST_CASE(a_refusal_during_a_later_restart_is_no_crash_of_the_runs) {
    crash_fixture f;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    for (int i = 0; i < 4 && !f.final_state("a"); ++i) {
        f.advance(3s, 10ms);
        f.save();
        const auto starts = f.take_starts();
        if (starts.empty()) {
            break;
        }
        const auto& w = starts.back().worker;
        f.unreachable[w] = true;
        f.advance(3s, 10ms);
        f.unreachable_status = order_status::not_sent;
        f.advance(1s, 10ms);
        f.unreachable_status = order_status::no_answer;
        f.unreachable[w] = false;
        f.crash_worker(w);
        f.advance(100ms, 10ms);
        f.save();
    }
    BOOST_TEST(!f.final_state("a"));
}

// Guards against a crash that is taken for silence: the worker refuses connections at first, and
// does not answer while its machine boots.
BOOST_AUTO_TEST_CASE(a_refusal_when_the_worker_became_unreachable_counts) {
    crash_fixture f;
    f.engine.on_job(f.now, dispatch_fixture::job("a", 1, 1000), {}, 11);
    f.advance(50ms, 10ms);
    const auto starts = f.take_starts();
    BOOST_REQUIRE(starts.size() == 1U);
    const auto& w = starts[0].worker;
    f.unreachable[w] = true;
    f.unreachable_status = order_status::not_sent;
    f.advance(500ms, 10ms);
    f.unreachable_status = order_status::no_answer;
    f.advance(1s, 10ms);
    f.unreachable[w] = false;
    f.crash_worker(w);
    f.advance(100ms, 10ms);
    f.save();
    const auto progress = stored_progress(f, "a");
    BOOST_REQUIRE(progress.tasks.contains({"a", 0, 0, 0}));
    BOOST_TEST(progress.tasks.at({"a", 0, 0, 0}).crashes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
