#pragma once

// Stand-in for a runner: starts, stops and lists runs under a lease, as PROTOCOL.md describes it,
// and reports itself in the store every 1.5 s. The `spec` of a job says how long its tasks work, as
// "work_ms=N", by how much runs differ, as "spread_ms=N", and whether they fail, as "fail".

#include "http.h"
#include "record.h"
#include "store.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct runner_kind {
    std::int64_t cpu = 16'000;
    std::int64_t mem_mb = 32'768;
    std::string label = "a";
};

/// One start that a runner has begun.
struct begun_run {
    std::int64_t at = 0;
    std::string runner;
    std::int64_t born = 0;
    std::string task;
    std::uint32_t run = 0;
    std::string kind;
};

/// All starts and ends of a case, over all runners.
class run_log {
public:
    explicit run_log(record& out) : m_record(out) {}

    void begun(const begun_run& run);
    void ended(const std::string& runner, const std::string& task, std::uint32_t run,
               const std::string& how);

    [[nodiscard]] std::vector<begun_run> starts();
    /// Number of runs of the tasks of a job that ended so.
    [[nodiscard]] std::size_t ends(const std::string& job, const std::string& how);
    /// Time since the last run of the task ended; 0 while one is at work or none has begun.
    [[nodiscard]] std::int64_t idle_for(const std::string& task);
    /// Runs of this job are counted, but not recorded one by one.
    void summarize(const std::string& job) { m_summarized = job; }

private:
    record& m_record;
    std::mutex m_mutex;
    std::vector<begun_run> m_starts;
    std::vector<std::pair<std::string, std::string>> m_ends;
    std::map<std::string, std::int64_t> m_idle_since;
    std::string m_summarized = "none";
};

class runner {
public:
    runner(std::string id, std::string service, store& platform, run_log& log, record& out,
           runner_kind kind = {});
    ~runner();
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    /// The process ends: nothing runs or answers any more. The platform removes the entry after
    /// three heartbeat intervals of silence.
    void crash();
    /// The process starts again under its id and at its address, and knows nothing of before.
    void restart(runner_kind kind);
    void restart() { restart(m_kind); }

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] bool up() const { return m_up; }
    /// The next start order is held up on its way and gets no answer.
    void hold_up_next_start() { m_hold_up = true; }
    void let_starts_pass() { m_hold_up = false; }
    /// Whether an order has been held up and not arrived yet.
    [[nodiscard]] bool has_held_up_order();
    /// The order that was held up arrives now, at whichever life of the runner is up.
    void deliver_held_up_order();
    /// Whether a run of the job is at work here.
    [[nodiscard]] bool runs_job(const std::string& job);

private:
    struct active_run {
        std::uint32_t run = 0;
        std::int64_t done_at = 0;
        std::int64_t work_ms = 0;
        bool fails = false;
    };
    struct ended_run {
        std::uint64_t number = 0;
        std::string task;
        std::uint32_t run = 0;
        std::string how;
    };

    std::optional<response> handle(const request& call);
    response start(const json::object& body);
    void hold_up(const json::object& body);
    response stop(const json::object& body);
    response hold(const json::object& body);
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] response refuse(const char* reason) const;
    [[nodiscard]] bool accepts_fence(const json::object& body);
    void extend_lease(std::int64_t until_ms);
    void end_run(const std::string& task, const std::string& how);
    void work();
    void beat();

    std::string m_id;
    std::string m_service;
    store& m_store;
    run_log& m_log;
    record& m_record;
    runner_kind m_kind;
    std::uint16_t m_port = 0;
    std::unique_ptr<http_server> m_server;
    std::thread m_worker;
    std::atomic<bool> m_ended{false};
    std::atomic<bool> m_up{false};
    std::atomic<bool> m_hold_up{false};
    std::optional<json::object> m_held_up;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_born = 0;
    std::int64_t m_started_at = 0;
    std::uint64_t m_seq = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_lease_until = 0;
    std::uint64_t m_next_end = 1;
    std::map<std::string, active_run> m_running;
    std::deque<ended_run> m_ends;
    std::map<std::string, std::uint32_t> m_highest_ended;
    std::int64_t m_next_beat = 0;
    std::int64_t m_silent_since = 0;
};

} // namespace review
