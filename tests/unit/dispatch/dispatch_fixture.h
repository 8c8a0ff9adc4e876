#pragma once

#include "core/dispatch/dispatcher.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::dispatch::test {

/// A dispatcher with scripted responses of workers, advice service and store.
class dispatch_fixture {
public:
    explicit dispatch_fixture(const dispatcher_settings& settings = {})
        : engine(settings, counters) {}

    static constexpr std::int64_t cores = 1000;

    static queue_settings plain_queue(const std::string& name = "q") {
        queue_settings queue;
        queue.name = name;
        queue.service = "planner";
        queue.priority = 1;
        queue.max_attempts = 3;
        queue.slack_factor = 2.0;
        queue.target_ms = 1000;
        return queue;
    }

    static queue_settings ticket_queue(const std::string& name = "t") {
        auto queue = plain_queue(name);
        queue.needs_tickets = true;
        queue.ticket_base_ms = 10;
        queue.ticket_per_worker_ms = 1;
        queue.ticket_valid_ms = 1500;
        return queue;
    }

    static worker_report report(const std::string& id, std::int64_t cpu_milli = 64 * cores) {
        worker_report result;
        result.id = id;
        result.service = "planner";
        result.address = {"10.0.0.1", 1};
        result.rack = "r1";
        result.capacity = {cpu_milli, std::int64_t{128} * 1024, 0};
        result.start_time_ms = 1000;
        result.clock_ms = 5000;
        return result;
    }

    static job_spec job(const std::string& id, std::uint32_t tasks, std::int64_t cpu_milli,
                        const std::string& queue = "q") {
        job_spec spec;
        spec.id = id;
        spec.queue = queue;
        step_spec step;
        step.count = tasks;
        step.demand = {cpu_milli, 1000, 0};
        step.estimate_ms = 1000;
        spec.steps.push_back(step);
        return spec;
    }

    /// Takes over with the given workers, all of which have answered polls.
    void become_owner(const std::vector<std::string>& workers, std::uint64_t fence = 10,
                      const std::string& record = "") {
        for (const auto& id : workers) {
            engine.on_worker(now, report(id));
        }
        engine.take_over(now, fence, record);
        settle();
    }

    /// Stores the record of the workers that answer polls.
    void settle() {
        save();
        advance(std::chrono::milliseconds(50), std::chrono::milliseconds(10));
        save();
        run_until_idle();
        // Plans have a distance in time; the next event is planned at once.
        now += std::chrono::milliseconds(10);
    }

    /// Responds to polls with the lists in `running` and `ended` until no more actions are due.
    void run_until_idle() {
        for (int round = 0; round < 20 && run_one_round(); ++round) {
            now += std::chrono::milliseconds(5);
        }
    }

    /// Handles the actions that are due now. Returns false when there are none.
    bool run_one_round() {
        engine.on_list_known(now);
        engine.on_changes_known(now - cancels_age, now - drains_age);
        if (key_seen) {
            engine.on_key_seen(now);
        }
        engine.on_time(now);
        const auto actions = engine.take_actions();
        for (const auto& action : actions) {
            handle_action(action);
        }
        return !actions.empty();
    }

    void advance(common::duration by, common::duration step = std::chrono::milliseconds(50)) {
        const auto end = now + by;
        while (now < end) {
            now += step;
            run_until_idle();
        }
    }

    /// The worker renews its entry in the instance list.
    void report_from(const std::string& worker) {
        auto current = report(worker);
        current.start_time_ms = incarnation_of(worker);
        current.clock_ms = clock_ms();
        engine.on_worker(now, current);
    }

    /// The worker loses its runs and is back at once as a new incarnation under the same id.
    void crash_worker(const std::string& worker) {
        incarnations[worker] = incarnation_of(worker) + 1000;
        running[worker].clear();
        ended[worker].clear();
        end_numbers[worker] = 0;
        report_from(worker);
    }

    [[nodiscard]] std::int64_t incarnation_of(const std::string& worker) const {
        const auto position = incarnations.find(worker);
        return position == incarnations.end() ? start_time_ms : position->second;
    }

    void save() {
        while (const auto batch = engine.next_save()) {
            saves.push_back(*batch);
            for (const auto& record : batch->jobs) {
                stored[record.job] = record.progress;
            }
            if (!batch->workers.empty()) {
                worker_record = batch->workers;
            }
            engine.on_saved(now);
        }
    }

    /// Ends the run; the worker lists this from the next poll on.
    void end_run(const std::string& worker, const run_key& run, run_end how,
                 const std::string& checkpoint = "") {
        auto& runs = running[worker];
        // From the back, so that tests with thousands of runs may end the latest ones first.
        const auto last = std::find_if(runs.rbegin(), runs.rend(),
                                       [&run](const running_run& item) { return item.run == run; });
        if (last != runs.rend()) {
            runs.erase(std::next(last).base());
        }
        ended[worker].push_back({++end_numbers[worker], run, how, checkpoint});
    }

    void accept_start(const start_order& order) {
        running[order.worker].push_back({order.run, "", 0});
        engine.on_start_result(now, order, {order_status::accepted, clock_ms()});
    }

    [[nodiscard]] bool is_running(const std::string& worker, const run_key& run) {
        const auto& runs = running[worker];
        return std::any_of(runs.begin(), runs.end(),
                           [&run](const running_run& item) { return item.run == run; });
    }

    [[nodiscard]] std::int64_t clock_ms() const { return 5000 + common::to_milliseconds(now); }

    [[nodiscard]] std::vector<start_order> take_starts() { return std::exchange(starts, {}); }

    common::counters counters;
    common::time_point now{std::chrono::seconds(100)};
    dispatcher engine;
    std::map<std::string, std::vector<running_run>> running;
    std::map<std::string, std::vector<ended_run>> ended;
    std::map<std::string, std::uint64_t> end_numbers;
    std::map<std::string, bool> unreachable;
    /// How polls of an unreachable worker end.
    order_status unreachable_status = order_status::no_answer;
    /// What polls of an unreachable worker through another node yield.
    enum class peer_view { no_peer, silent, answers };
    std::map<std::string, peer_view> through_peer;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<advice_call> advice;
    std::vector<state_change> changes;
    std::vector<poll_order> polls;
    std::vector<std::string> fences;
    std::vector<save_batch> saves;
    std::map<std::string, std::string> stored;
    std::string worker_record;
    bool accept_starts = true;
    /// The store goes on to show the owner's key.
    bool key_seen = true;
    /// Incarnation (start time) that all workers report in polls.
    std::int64_t start_time_ms = 1000;
    /// Workers that report another incarnation.
    std::map<std::string, std::int64_t> incarnations;
    /// How long ago the last known cancellation or report of draining can have been accepted.
    common::duration cancels_age{0};
    common::duration drains_age{0};
    /// How the calls of stops end; absent while they have not ended.
    std::optional<order_status> stop_status = order_status::accepted;
    /// When true, the test itself ends stopped runs; otherwise they end at once.
    bool stops_take_time = false;

private:
    void handle_action(const dispatch_action& action) {
        if (const auto* const order = std::get_if<start_order>(&action)) {
            starts.push_back(*order);
            if (accept_starts) {
                accept_start(*order);
            }
        } else if (const auto* const stop = std::get_if<stop_order>(&action)) {
            stops.push_back(*stop);
            const bool accepted = stop_status == order_status::accepted;
            if (stop_status) {
                engine.on_stop_result(now, *stop, {*stop_status, accepted ? clock_ms() : 0});
            }
            // A worker lists no end of a run that it never had.
            if (accepted && !stops_take_time && is_running(stop->worker, stop->run)) {
                end_run(stop->worker, stop->run, run_end::stopped);
            }
        } else if (const auto* const call = std::get_if<advice_call>(&action)) {
            advice.push_back(*call);
        } else if (const auto* const change = std::get_if<state_change>(&action)) {
            changes.push_back(*change);
        } else if (const auto* const event = std::get_if<fenced>(&action)) {
            fences.push_back(event->worker);
        } else if (const auto* const poll = std::get_if<poll_call>(&action)) {
            respond(*poll);
        }
    }

    void respond(const poll_call& call) {
        polls.push_back(call.order);
        poll_result result;
        result.status = unreachable_status;
        const auto view = call.through_peer ? through_peer[call.order.worker] : peer_view::no_peer;
        result.silence_confirmed = view == peer_view::silent;
        if (!unreachable[call.order.worker] || view == peer_view::answers) {
            result.status = order_status::accepted;
            result.clock_ms = clock_ms();
            result.start_time_ms = incarnation_of(call.order.worker);
            result.running = running[call.order.worker];
            auto& runs = ended[call.order.worker];
            std::erase_if(runs, [&call](const ended_run& item) {
                return item.number <= call.order.ends_saved;
            });
            runs.size() > max_listed_ends
                ? result.ended.assign(runs.begin(), runs.begin() + max_listed_ends)
                : result.ended.assign(runs.begin(), runs.end());
        }
        engine.on_poll_result(now, call, now, result);
    }
};

/// The record of a first term with workers as dispatch_fixture::report() describes them.
inline worker_record make_record(const std::vector<std::string>& workers) {
    worker_record record;
    record.term = 1;
    for (const auto& id : workers) {
        record.workers.push_back(dispatch_fixture::report(id));
    }
    return record;
}

inline std::string record_of(const std::vector<std::string>& workers) {
    return write_worker_record(make_record(workers));
}

} // namespace buckthornspar::dispatch::test
