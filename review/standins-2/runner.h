#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace review {

struct runner_settings {
    std::string service;
    std::string zone;
    std::string kind;
    std::string rack;
    std::int64_t cpu = 64'000;
    std::int64_t mem_mb = 131'072;
};

/// What the members of one run of a gang do, on all runners.
struct gang_run {
    std::set<std::string> members;
    /// When the last member has joined; 0 before.
    std::int64_t begun_ms = 0;
    bool ended = false;
};
/// By step (ID.K.STEP) and number of the run.
using gang_board = std::map<std::pair<std::string, std::int64_t>, gang_run>;

/// A runner: it registers in the store, runs tasks under leases and lists them. A task works for
/// the time that its spec names ("work_ms=N"), or until it is stopped if the spec is "lasting".
/// With "gang=N" it is a member of a gang of so many. After a crash it is back under a new id at
/// the same address.
class runner {
public:
    runner(asio::io_context& context, store& platform, record& log, gang_board& gangs,
           runner_settings settings);

    void crash();
    void restart();
    /// Cuts the runner off from the nodes, or connects it again. It runs on and reports to the
    /// store; what is sent to it meanwhile is lost.
    void set_cut(bool cut);
    [[nodiscard]] bool is_up() const { return m_up; }
    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] bool runs(const std::string& task) const { return m_running.contains(task); }
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    /// The room in thousandths of a core that no run uses.
    [[nodiscard]] std::int64_t free_cpu(std::int64_t cpu_of_task) const;
    /// Ends the runs that are due, and reports to the store; runs until the program ends.
    awaitable<void> work();

private:
    struct run {
        std::int64_t number = 0;
        std::int64_t started_ms = 0;
        /// 0: until it is stopped.
        std::int64_t work_ms = 0;
        /// Members of the gang; 0 for a task by itself.
        std::size_t gang = 0;
    };
    struct end {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    awaitable<answer> handle(const request& message);
    answer start(const json::object& body);
    answer stop(const json::object& body);
    awaitable<answer> hold(const json::object& body);
    bool accepts_fence(const json::object& body);
    void extend_lease(std::int64_t until_ms);
    void end_run(const std::string& task, const std::string& how);
    void end_due_runs();
    /// How the run ends now; null if it goes on.
    const char* end_of(const std::string& task, const run& active);
    gang_run& gang_of(const std::string& task, const run& active);
    void report();
    [[nodiscard]] std::int64_t clock_ms() const { return now_ms() - m_clock_start_ms; }
    [[nodiscard]] answer refused(const char* reason) const;
    [[nodiscard]] answer lists() const;

    store& m_store;
    record& m_record;
    gang_board& m_gangs;
    runner_settings m_settings;
    server m_server;
    std::string m_id;
    bool m_up = false;
    bool m_cut = false;
    unsigned m_life = 0;
    std::int64_t m_born_ms = 0;
    std::int64_t m_clock_start_ms = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_lease_until_ms = 0;
    std::int64_t m_last_end = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_next_report_ms = 0;
    std::map<std::string, run> m_running;
    std::deque<end> m_ended;
    std::map<std::string, std::int64_t> m_highest_ended;
    /// Entries of former incarnations, and when they end.
    std::map<std::string, std::int64_t> m_old_entries;
};

} // namespace review
