#pragma once

#include "core/common/counters.h"
#include "core/common/rng.h"
#include "core/routing/request_engine.h"
#include "routing_workload.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::bench {

struct simulation_result {
    /// Times from submission to start at the runner, in units of the mean service time; answered
    /// requests only.
    std::vector<double> waits;
    /// The same waits by group of entries, because totals hide which entries wait.
    std::vector<double> waits_first_entry;
    std::vector<double> waits_same_region;
    std::vector<double> waits_other_regions;
    std::size_t answered = 0;
    std::size_t refused = 0;
    /// Requests answered with an error status of the runner.
    std::size_t failed = 0;
    std::size_t full_refusals = 0;
    std::size_t crossings = 0;
    std::size_t crossings_refused = 0;
    std::size_t peer_messages = 0;
    /// Size of requests and responses that cross regions.
    double crossing_bytes = 0;
    /// Size of messages between entries of different regions.
    double crossing_peer_bytes = 0;
    std::vector<second_statistics> seconds;
};

/// Discrete-event simulation of a cell: the production request engine of each entry, simplified
/// runners, and a network with fixed delays.
class routing_simulation {
public:
    routing_simulation(const routing_cell& cell, const runner_faults& faults,
                       const std::string& policy, std::uint64_t seed);

    [[nodiscard]] simulation_result run(const std::vector<arrival>& arrivals);

private:
    struct entry_node {
        common::counters metrics;
        std::unique_ptr<routing::request_engine> engine;
        std::size_t region = 0;
        common::time_point wake_at = common::time_point::max();
    };
    struct runner_node {
        std::size_t region = 0;
        std::uint32_t running = 0;
        /// Runs in progress; they and their connections are lost when the runner dies.
        std::set<std::uint64_t> runs;
        unsigned incarnation = 1;
    };
    struct active_run {
        std::size_t entry;
        std::size_t runner;
        std::size_t number;
        routing::call_token token;
    };
    struct event {
        common::time_point at;
        std::uint64_t number;
        std::function<void()> run;
    };
    struct fires_later {
        bool operator()(const event& a, const event& b) const {
            return a.at != b.at ? a.at > b.at : a.number > b.number;
        }
    };

    void schedule(common::time_point at, std::function<void()> run);
    [[nodiscard]] common::duration one_way_delay(std::size_t a, std::size_t b) const;
    void after_engine_event(std::size_t entry);
    void perform(std::size_t entry, const routing::action& a);
    void deliver_to_runner(std::size_t entry, std::size_t runner, const routing::run_call& call);
    void send_result(std::size_t entry, std::size_t runner, routing::run_result result);
    void finish_run(std::uint64_t run, routing::run_result result);
    void lose_run(std::uint64_t run);
    void kill_runners();
    void refuse_connection(std::size_t entry, std::size_t runner, const routing::run_call& call);
    void answer_query(std::size_t entry, const routing::query_call& query);
    [[nodiscard]] routing::run_state run_state_at(std::size_t runner,
                                                  const routing::query_call& query) const;
    void answer_ping(std::size_t entry, const routing::ping_call& ping);
    void send_peer(std::size_t entry, const routing::peer_message& message);
    void count_attempt(const routing::run_call& call);
    void count_retries();
    [[nodiscard]] second_statistics& statistics_at(common::time_point at);
    [[nodiscard]] routing::runner_report report_of(std::size_t runner) const;
    void record_answer(const routing::caller_answer& a);
    [[nodiscard]] std::vector<double>& waits_of_group(std::size_t entry);

    routing_cell m_cell;
    runner_faults m_faults;
    common::time_point m_now{};
    std::uint64_t m_next_event = 0;
    std::priority_queue<event, std::vector<event>, fires_later> m_events;
    std::vector<std::unique_ptr<entry_node>> m_entries;
    std::vector<runner_node> m_runners;
    std::map<std::uint64_t, active_run> m_active_runs;
    std::uint64_t m_next_run = 0;
    std::size_t m_retries_counted = 0;
    const std::vector<arrival>* m_arrivals = nullptr;
    std::vector<common::time_point> m_started;
    simulation_result m_result;
};

} // namespace buckthornspar::bench
