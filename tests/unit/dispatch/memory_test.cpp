// The memory of an owner with accepted jobs. All bounds come from the design size: a node spends at
// most 128 MB on control (DEVELOPERS.md).

#define BOOST_TEST_MODULE dispatch_memory
#include <boost/test/unit_test.hpp>

#include "core/common/error.h"
#include "dispatch_fixture.h"
#include "fakes/allocation_count.h"

#include <algorithm>

using namespace buckthornspar;
using namespace buckthornspar::dispatch;
using namespace buckthornspar::dispatch::test;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t node_limit = std::int64_t{128} << 20U;

/// An owner with two workers of 64 cores.
struct owner_fixture : dispatch_fixture {
    owner_fixture() {
        engine.on_queues({plain_queue()});
        become_owner({"w1", "w2"});
    }

    /// Lets the owner read and save all ended runs, of which a worker lists only some at a time.
    void save_all_ends() {
        const auto any_listed = [this] {
            return std::any_of(ended.begin(), ended.end(),
                               [](const auto& entry) { return !entry.second.empty(); });
        };
        do {
            advance(400ms);
            save();
        } while (any_listed());
    }
};

constexpr std::int64_t unix_now_ms = 1'800'000'000'000;
constexpr std::int64_t minute_ms = 60'000;
constexpr std::uint32_t every_minute_for_sixty_days = 86'400;

/// A job with one small task in each occurrence.
job_spec timed_job(const std::string& id, std::uint32_t repeats, std::int64_t first_ms,
                   std::int64_t interval_ms) {
    auto spec = dispatch_fixture::job(id, 1, 500);
    spec.schedule = {repeats, first_ms, interval_ms};
    return spec;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatch_memory, owner_fixture)

// Guards against memory for each task of accepted jobs: owners were killed one after the other
// while they loaded 98 jobs of 19,000 tasks (issue 32).
BOOST_AUTO_TEST_CASE(waiting_tasks_use_no_memory) {
    const auto before = buckthornspar::test::allocated_bytes();
    for (int i = 0; i < 98; ++i) {
        engine.on_job(now, job("a" + std::to_string(i), 19'000, 10'000), {}, 20);
    }
    run_until_idle();
    BOOST_TEST(buckthornspar::test::allocated_bytes() - before < node_limit);
    // Twelve tasks of 10 cores fit.
    BOOST_TEST(starts.size() == 12U);
}

// Guards against an admission of jobs that counts less memory than they take.
BOOST_AUTO_TEST_CASE(the_memory_of_waiting_jobs_is_counted) {
    engine.on_wall_clock(now, unix_now_ms);
    // Half of the jobs are scheduled, and some have many steps.
    std::vector<job_spec> specs;
    for (int i = 0; i < 1000; ++i) {
        auto spec = job("00000000000000000000" + std::to_string(i), 5, 128'001);
        spec.payload.assign(static_cast<std::size_t>(i) * 4, 'p');
        spec.accepted_by = "an instance with a long name";
        spec.steps.resize(1U + static_cast<std::size_t>(i % 40), spec.steps[0]);
        for (std::uint32_t s = 1; s < spec.steps.size(); ++s) {
            spec.steps[s].after = {s - 1};
        }
        if (i % 2 == 0) {
            spec.schedule = {1000, unix_now_ms + minute_ms, minute_ms};
        }
        specs.push_back(std::move(spec));
    }
    const auto before = buckthornspar::test::allocated_bytes();
    for (const auto& spec : specs) {
        engine.on_job(now, spec, {}, 20);
    }
    run_until_idle();
    const auto taken = buckthornspar::test::allocated_bytes() - before;
    BOOST_TEST(taken <= engine.job_memory());
    BOOST_TEST(engine.job_memory() < 3 * taken);
}

// Guards against run numbers that are used again when runs of a former owner may be unreported, and
// against a state for each task that only says so.
BOOST_AUTO_TEST_CASE(skipped_run_numbers_use_no_memory) {
    dispatch_fixture successor;
    successor.engine.on_queues({plain_queue()});
    successor.engine.on_worker(successor.now, report("w1"));
    const auto before = buckthornspar::test::allocated_bytes();
    // The record names another incarnation of the worker than the one that is there.
    auto former = report("w1");
    former.start_time_ms = 500;
    dispatch::worker_record record;
    record.term = 3;
    record.workers = {former};
    successor.engine.take_over(successor.now, 10, write_worker_record(record));
    for (int i = 0; i < 98; ++i) {
        successor.engine.on_job(successor.now, job("a" + std::to_string(i), 19'000, 10'000), {}, 5);
    }
    for (int round = 0; round < 3; ++round) {
        successor.save();
        successor.advance(2s);
    }
    BOOST_TEST(buckthornspar::test::allocated_bytes() - before < node_limit);
    BOOST_REQUIRE(!successor.starts.empty());
    for (const auto& order : successor.starts) {
        BOOST_TEST(order.run.run > 4U * 32U);
    }
}

// Guards against memory for occurrences that are not due: eight such jobs ended every process that
// led, for good (review/2).
BOOST_AUTO_TEST_CASE(later_occurrences_use_no_memory) {
    engine.on_wall_clock(now, unix_now_ms);
    const auto before = buckthornspar::test::allocated_bytes();
    for (int i = 0; i < 8; ++i) {
        engine.on_job(now,
                      timed_job("a" + std::to_string(i), every_minute_for_sixty_days,
                                unix_now_ms + minute_ms, minute_ms),
                      {}, 20);
    }
    engine.on_job(now, job("plain", 1, 1000), {}, 21);
    run_until_idle();
    BOOST_TEST(buckthornspar::test::allocated_bytes() - before < node_limit);
    BOOST_TEST(starts.size() == 1U);
}

// Guards against memory for all occurrences of schedules that are due at once, and against
// occurrences that do not start although there is room.
BOOST_AUTO_TEST_CASE(due_occurrences_use_bounded_memory) {
    engine.on_wall_clock(now, unix_now_ms);
    const auto before = buckthornspar::test::allocated_bytes();
    for (int i = 0; i < 98; ++i) {
        engine.on_job(now,
                      timed_job("a" + std::to_string(i), every_minute_for_sixty_days,
                                unix_now_ms - every_minute_for_sixty_days * minute_ms, minute_ms),
                      {}, 20);
    }
    advance(1s);
    BOOST_TEST(buckthornspar::test::allocated_bytes() - before < node_limit);
    // Two workers of 64 cores, half a core for each task.
    BOOST_TEST(starts.size() == 256U);
    for (int round = 0; round < 20; ++round) {
        for (const auto& order : take_starts()) {
            end_run(order.worker, order.run, run_end::succeeded);
        }
        advance(100ms);
        save();
        advance(100ms);
        BOOST_TEST(starts.size() == 256U);
    }
    BOOST_TEST(buckthornspar::test::allocated_bytes() - before < node_limit);
}

// Guards against a stored record with a row for every task of every finished occurrence, which the
// store refuses once it exceeds the size of a value, and against occurrences that run again or not
// at all after a change of owner.
BOOST_AUTO_TEST_CASE(finished_occurrences_are_stored_compactly) {
    engine.on_wall_clock(now, unix_now_ms);
    constexpr std::uint32_t occurrences = 2000;
    engine.on_job(now, timed_job("a", occurrences, unix_now_ms - 10 * minute_ms, 1), {}, 20);
    std::set<task_key> ended_tasks;
    while (ended_tasks.size() < occurrences / 2) {
        advance(100ms);
        for (const auto& order : take_starts()) {
            end_run(order.worker, order.run, run_end::succeeded);
            BOOST_TEST(ended_tasks.insert(order.run.task).second);
        }
        advance(100ms);
        save();
    }
    BOOST_TEST(stored.at("a").size() < 20'000U);

    owner_fixture successor;
    successor.engine.on_wall_clock(successor.now, unix_now_ms);
    successor.engine.on_job(successor.now,
                            timed_job("a", occurrences, unix_now_ms - 10 * minute_ms, 1),
                            read_progress("a", stored.at("a")), 20);
    while (successor.changes.empty() || successor.changes.back().state != job_state::completed) {
        successor.advance(100ms);
        const auto started = successor.take_starts();
        BOOST_REQUIRE(!started.empty());
        for (const auto& order : started) {
            successor.end_run(order.worker, order.run, run_end::succeeded);
            BOOST_TEST(ended_tasks.insert(order.run.task).second);
        }
        successor.advance(100ms);
        successor.save();
        successor.advance(10ms);
    }
    BOOST_TEST(ended_tasks.size() == occurrences);
}

// Guards against a record that outgrows a value of the store, which refuses the commit for good:
// the job and all later ones are never completed (review/REPORT.md, 1,440 occurrences of 30 tasks).
BOOST_AUTO_TEST_CASE(the_record_of_many_short_tasks_stays_small) {
    engine.on_wall_clock(now, unix_now_ms);
    auto spec = timed_job("a", 1'440, unix_now_ms - 2'000 * minute_ms, minute_ms);
    spec.steps[0].count = 30;
    spec.steps[0].demand = {100, 10, 0};
    engine.on_job(now, spec, {}, 20);
    std::size_t largest = 0;
    for (int round = 0; round < 60 && engine.jobs().contains("a"); ++round) {
        advance(50ms);
        auto started = take_starts();
        std::reverse(started.begin(), started.end());
        for (const auto& order : started) {
            end_run(order.worker, order.run, run_end::succeeded);
        }
        advance(50ms);
        save();
        largest = std::max(largest, stored.at("a").size());
    }
    BOOST_TEST(!engine.jobs().contains("a"));
    BOOST_TEST(largest < std::size_t{1} << 20U);
}

// Guards against the same for a job of the largest size whose runs were all lost after they had
// saved a checkpoint, and against run numbers and failures that are forgotten with what does not
// fit.
BOOST_AUTO_TEST_CASE(the_record_of_many_lost_runs_fits_into_a_value) {
    auto spec = job("a", 20'000, 1);
    spec.steps[0].demand = {1, 1, 0};
    engine.on_job(now, spec, {}, 20);
    run_until_idle();
    auto lost = take_starts();
    BOOST_REQUIRE(lost.size() == 20'000U);
    std::reverse(lost.begin(), lost.end());
    for (const auto& order : lost) {
        const auto how = order.run.task.index % 2 == 0 ? run_end::lapsed : run_end::failed;
        end_run(order.worker, order.run, how,
                std::string(64, 'c') + std::to_string(order.run.task.index));
    }
    engine.drain();
    save_all_ends();
    const auto& record = stored.at("a");
    BOOST_TEST(record.size() <= std::size_t{1} << 20U);
    const auto known = read_progress("a", record);
    // The job has begun, also for a successor.
    BOOST_TEST((make_job(spec, known, 20, now).state == job_state::running));
    for (std::uint32_t index = 0; index < 20'000; ++index) {
        const auto task = known.tasks.find({"a", 0, 0, index});
        const auto last_run = task == known.tasks.end() ? 0U : task->second.last_run;
        const auto failures = task == known.tasks.end() ? 0U : task->second.failures;
        BOOST_REQUIRE(std::max(last_run, known.possible_runs) == 1U);
        BOOST_REQUIRE(failures == index % 2);
    }
}

// Guards against a commit of many large records, which is kept in several encodings until the store
// has answered.
BOOST_AUTO_TEST_CASE(a_commit_does_not_grow_with_the_records_of_jobs) {
    for (int i = 0; i < 20; ++i) {
        auto spec = job("a" + std::to_string(i), 250, 1);
        spec.steps[0].demand = {1, 1, 0};
        engine.on_job(now, spec, {}, 20);
    }
    run_until_idle();
    for (const auto& order : take_starts()) {
        end_run(order.worker, order.run, run_end::lapsed,
                std::string(500, 'c') + std::to_string(order.run.task.index));
    }
    engine.drain();
    saves.clear();
    save_all_ends();
    std::size_t records = 0;
    for (const auto& batch : saves) {
        std::size_t bytes = 0;
        for (const auto& record : batch.jobs) {
            bytes += record.progress.size();
        }
        records += batch.jobs.size();
        BOOST_TEST(bytes < std::size_t{1} << 20U);
    }
    BOOST_TEST(records >= 20U);
}

// Guards against tasks that share a row of the record and are read for fewer or other ones.
BOOST_AUTO_TEST_CASE(a_record_is_read_as_it_was_written) {
    job_progress progress;
    progress.state = job_state::running;
    progress.finished.insert(0, 3);
    progress.finished.insert(7);
    progress.succeeded[{4, 1}].insert(2, 9);
    progress.possible_runs = 64;
    for (std::uint32_t index : {3U, 4U, 5U, 7U, 8U}) {
        progress.tasks[{"a", 4, 0, index}].last_run = index < 8 ? 2 : 3;
    }
    progress.tasks[{"a", 5, 0, 9}].checkpoint = "c";
    const auto again = read_progress("a", write_progress(progress));
    BOOST_TEST((again.tasks == progress.tasks));
    BOOST_TEST((again.succeeded == progress.succeeded));
    BOOST_TEST((again.finished == progress.finished));
    BOOST_TEST(again.possible_runs == 64U);
}

// Guards against a damaged record that uses up the memory of each process that reads it.
BOOST_AUTO_TEST_CASE(a_row_of_too_many_tasks_is_refused) {
    BOOST_CHECK_THROW(
        static_cast<void>(read_progress(
            "a", R"({"state":"running","tasks":[[0,0,0,0,[],1,0,"",0,0,4000000000]]})")),
        common::format_error);
    std::string rows = "[0,0,0,0,[],1,0,\"\",0,0,100000]";
    for (int i = 1; i < 100; ++i) {
        rows += ",[" + std::to_string(i) + ",0,0,0,[],1,0,\"\",0,0,100000]";
    }
    BOOST_CHECK_THROW(
        static_cast<void>(read_progress("a", R"({"state":"running","tasks":[)" + rows + "]}")),
        common::format_error);
}

// Guards against a record of an earlier version, with a row for each succeeded task, that is
// forgotten: its tasks would run again.
BOOST_AUTO_TEST_CASE(records_with_rows_of_finished_occurrences_are_read) {
    engine.on_wall_clock(now, unix_now_ms);
    const std::string record =
        R"({"state":"running","tasks":[[0,0,0,1,[1],1,0,"",0,0],[1,0,0,1,[2],2,0,""],)"
        R"([2,0,0,0,[1],1,1,"",0,0]]})";
    engine.on_job(now, timed_job("a", 4, unix_now_ms - minute_ms, 1), read_progress("a", record),
                  20);
    run_until_idle();
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(starts[0].run.task.occurrence == 2U);
    BOOST_TEST(starts[0].run.run == 2U);
    BOOST_TEST(starts[1].run.task.occurrence == 3U);
}

// Guards against runs of the former owner that a successor takes for unknown, because their
// occurrences are not open there yet: it would stop them or run their tasks a second time.
BOOST_AUTO_TEST_CASE(runs_of_unopened_occurrences_are_adopted) {
    dispatch_fixture successor;
    successor.engine.on_queues({plain_queue()});
    successor.engine.on_wall_clock(successor.now, unix_now_ms);
    const task_key running_task{"a", 1'500, 0, 0};
    const task_key ended_task{"a", 1'600, 0, 0};
    successor.running["w1"].push_back({{running_task, 1}, "", 10});
    successor.end_run("w1", {ended_task, 1}, run_end::succeeded);
    successor.engine.on_worker(successor.now, report("w1"));
    dispatch::worker_record record;
    record.workers = {report("w1")};
    successor.engine.take_over(successor.now, 10, write_worker_record(record));
    successor.engine.on_job(successor.now, timed_job("a", 2'000, unix_now_ms - minute_ms, 1), {},
                            5);
    for (int round = 0; round < 3; ++round) {
        successor.save();
        successor.advance(1s);
    }
    BOOST_TEST(successor.stops.empty());
    for (int round = 0; round < 40; ++round) {
        for (const auto& order : successor.take_starts()) {
            BOOST_TEST((order.run.task != running_task));
            BOOST_TEST((order.run.task != ended_task));
            successor.end_run(order.worker, order.run, run_end::succeeded);
        }
        successor.advance(100ms);
        successor.save();
    }
    successor.end_run("w1", {running_task, 1}, run_end::succeeded);
    successor.advance(1s);
    successor.save();
    successor.advance(100ms);
    BOOST_REQUIRE(!successor.changes.empty());
    BOOST_TEST((successor.changes.back().state == job_state::completed));
}

// Guards against a process that ends because a start is answered after the occurrence of its task
// has finished.
BOOST_AUTO_TEST_CASE(a_start_may_be_answered_after_its_occurrence_has_finished) {
    accept_starts = false;
    engine.on_wall_clock(now, unix_now_ms);
    engine.on_job(now, timed_job("a", 2, unix_now_ms - minute_ms, 10 * minute_ms), {}, 20);
    run_until_idle();
    BOOST_REQUIRE(starts.size() == 1U);
    const auto order = starts[0];
    end_run(order.worker, order.run, run_end::succeeded);
    advance(2s);
    BOOST_TEST(engine.jobs().at("a").occurrences.empty());
    engine.on_start_result(now, order, {order_status::accepted, clock_ms()});
    engine.on_start_result(now, order, {order_status::no_ticket, clock_ms()});
    advance(1s);
    BOOST_TEST(starts.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
