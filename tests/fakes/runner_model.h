#pragma once

#include "core/routing/request.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::fakes {

using common::duration;
using common::time_point;

/// Faults of a runner, switched on and off by tests.
enum class runner_fault {
    none,
    silent,      // executes runs, but sends no responses to runs, queries or probes
    paused,      // reads nothing; runs that arrive are read when the pause ends
    late,        // answers to runs are sent after the reply delay
    duplicated,  // answers to runs are sent twice
    truncated,   // the connection ends in the middle of an answer to a run
    refuses_all, // refuses every run as full, but reports free slots
    fails_fast,  // ends every run immediately with status 500
};

[[nodiscard]] runner_fault runner_fault_from(std::string_view name);

/// A run as received. `work` is its duration; `tag` identifies the call and is copied to the reply.
struct run_arrival {
    std::uint64_t tag = 0;
    std::string id;
    duration remaining{0};
    duration work{0};
    std::string body;
    /// If not empty, a runner with another incarnation refuses the run as cancelled.
    std::string expected_incarnation;
};

/// A reply to a run.
struct run_reply {
    std::uint64_t tag = 0;
    std::string id;
    routing::run_outcome outcome = routing::run_outcome::ran;
    routing::runner_refusal reason = routing::runner_refusal::full;
    unsigned status = 200;
    std::string body;
    bool truncated = false;
};

/// One execution of a request, recorded for the checks of the tests.
struct execution {
    std::string id;
    time_point start{};
    /// Empty while it runs.
    std::optional<time_point> end;
};

/// Model of a runner as specified in docs/platform-contract.md, driven by a virtual clock. The body
/// of the answer to a run is "answer:" followed by the body of the request.
class runner_model {
public:
    runner_model(std::string id, std::uint32_t slots) : m_id(std::move(id)), m_slots(slots) {}

    void post(run_arrival arrival, time_point now);
    /// State of the run; empty if the runner sends no response.
    [[nodiscard]] std::optional<routing::run_state> ask(const std::string& id) const;
    [[nodiscard]] std::optional<routing::run_state> cancel(const std::string& id);
    /// Stored answer of a completed run; empty if there is none.
    [[nodiscard]] std::optional<run_reply> kept_answer(const std::string& id) const;
    /// Returns true if queries and probes currently get a response.
    [[nodiscard]] bool responds() const;

    void set_fault(runner_fault fault, time_point now);
    /// Sets the delay of replies under runner_fault::late.
    void set_reply_delay(duration d) { m_reply_delay = d; }
    void set_leaving(bool leaving) { m_leaving = leaving; }
    /// Ends all executions and discards all request ids. Pending replies are lost.
    void restart(time_point now);
    /// Lets the runner exceed its slots, to verify that the tests detect it.
    void set_ignores_slots(bool ignores) { m_ignores_slots = ignores; }

    /// Processes all ends of runs and delayed replies up to now.
    void advance(time_point now);
    [[nodiscard]] std::optional<time_point> next_event() const;
    /// Returns and removes the replies sent so far, in order.
    [[nodiscard]] std::vector<run_reply> take_replies();

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] std::uint32_t slots() const { return m_slots; }
    [[nodiscard]] std::uint32_t running() const { return m_running; }
    [[nodiscard]] std::uint32_t slots_free() const;
    [[nodiscard]] std::string incarnation() const;
    [[nodiscard]] duration uptime(time_point now) const { return now - m_started; }
    void set_started(time_point started) { m_started = started; }
    [[nodiscard]] const std::vector<execution>& executions() const { return m_executions; }

private:
    struct job {
        routing::run_state state = routing::run_state::running;
        std::vector<std::uint64_t> tags;
        std::size_t execution = 0;
        run_reply answer;
    };

    void receive(const run_arrival& arrival, time_point now);
    void refuse(const run_arrival& arrival, routing::runner_refusal reason, time_point now);
    void start(const run_arrival& arrival, time_point now);
    void complete(const std::string& id, time_point now);
    void reply(run_reply r, time_point now);

    std::string m_id;
    std::uint32_t m_slots;
    runner_fault m_fault = runner_fault::none;
    duration m_reply_delay = std::chrono::milliseconds(500);
    bool m_leaving = false;
    bool m_ignores_slots = false;
    unsigned m_restarts = 0;
    time_point m_started{};
    std::uint32_t m_running = 0;
    std::unordered_map<std::string, job> m_jobs;
    std::multimap<time_point, std::string> m_run_ends;
    std::multimap<time_point, run_reply> m_delayed_replies;
    std::deque<run_arrival> m_unread;
    std::vector<run_reply> m_replies;
    std::vector<execution> m_executions;
};

} // namespace buckthornspar::fakes
