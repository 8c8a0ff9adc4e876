#pragma once

#include "core/common/rng.h"
#include "core/routing/routing_messages.h"
#include "fakes/runner_model.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace buckthornspar::scenario {

/// Events ordered by time; events with the same time keep the order in which they were added.
class event_schedule {
public:
    void at(common::time_point when, std::function<void()> event) {
        m_events.emplace(when, std::move(event));
    }
    /// Runs the first event that is due by the given time; false when there is none.
    bool run_next(common::time_point until);
    [[nodiscard]] common::time_point now() const { return m_now; }
    void set_now(common::time_point now) { m_now = now; }

private:
    std::multimap<common::time_point, std::function<void()>> m_events;
    common::time_point m_now = common::time_point{} + std::chrono::seconds(1);
};

/// A runner process and its location.
struct runner_node {
    runner_node(std::string id, std::uint32_t slots) : model(std::move(id), slots) {}

    fakes::runner_model model;
    net::endpoint address;
    std::string region;
    bool up = true;
    bool listed = true;
    std::optional<common::time_point> leaving_since;
    bool wrong_id_next = false;
    std::map<std::string, common::duration> work;
};

/// Faults of the messages between entries.
struct peer_faults {
    std::uint64_t lost_percent = 0;
    /// Each message gets a random extra delay up to this, so that messages are reordered.
    common::duration max_delay{0};
    /// All messages from and to this entry are dropped.
    std::string cut_off;
};

/// Simulated network between entries and runners, with delays and connection faults.
class routing_network {
public:
    routing_network(event_schedule& schedule, std::uint64_t seed)
        : m_schedule(schedule), m_random(seed) {}

    using run_completion = std::function<void(routing::run_result)>;
    using query_completion = std::function<void(routing::query_result)>;
    using ping_completion = std::function<void(routing::ping_result)>;

    void run(const std::string& entry, const std::string& entry_region, runner_node& to,
             const routing::run_call& call, common::duration work, run_completion complete);
    void query(const std::string& entry_region, runner_node& to, const routing::query_call& call,
               const query_completion& complete);
    void ping(const std::string& entry_region, runner_node& to, const routing::ping_call& call,
              const ping_completion& complete);
    void abandon(const std::string& entry, routing::call_token token);
    void replace_connections(const std::string& entry, const std::string& runner);

    /// From now on, the existing connections of the entry to the runner deliver no data.
    void silence(const std::string& entry, const std::string& runner);
    /// The next run call of the entry uses a connection that the runner has already closed.
    void half_open(const std::string& entry, const std::string& runner);
    /// Ends the connections to a runner whose process has ended: open runs are lost.
    void end_connections(const std::string& runner);
    /// When set, every result and every message between entries is delivered twice.
    void set_duplicate_deliveries(bool duplicate) { m_duplicate_deliveries = duplicate; }
    void set_peer_faults(peer_faults faults) { m_peer_faults = std::move(faults); }

    /// Delivers a message between two entries, in the given regions.
    void send_peer(const std::pair<std::string, std::string>& entries,
                   const std::pair<std::string, std::string>& regions,
                   const std::function<void()>& deliver);

    /// Advances the runner's model and delivers its replies. Must be called after each event at a
    /// runner.
    void process_runner(runner_node& r);
    void set_after_event(std::function<void(runner_node&)> f) { m_after_event = std::move(f); }
    [[nodiscard]] common::duration one_way_delay(const std::string& a, const std::string& b);

private:
    struct link {
        bool silent = false;
        bool half_open = false;
    };
    struct open_run {
        std::string entry;
        std::string region;
        std::string runner;
        routing::call_token token;
        bool silent;
        run_completion complete;
    };

    void complete(std::uint64_t tag, const routing::run_result& result);
    void deliver_reply(runner_node& r, const fakes::run_reply& reply);
    void schedule_model(runner_node& r);

    event_schedule& m_schedule;
    common::rng m_random;
    bool m_duplicate_deliveries = false;
    peer_faults m_peer_faults;
    std::uint64_t m_next_tag = 1;
    std::map<std::pair<std::string, std::string>, link> m_links;
    std::map<std::uint64_t, open_run> m_runs;
    std::function<void(runner_node&)> m_after_event;
};

} // namespace buckthornspar::scenario
