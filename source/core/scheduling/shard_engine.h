#pragma once

#include "core/scheduling/pending_calls.h"
#include "core/scheduling/shard_ownership.h"
#include "core/scheduling/task_runner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace buckthornspar::scheduling {

struct shard_engine_settings {
    std::string shard;
    /// Id of this scheduler.
    std::string self;
    /// Time without a heartbeat after which the owner is assumed to have failed. claim_delay is
    /// added to it and differs between schedulers, so that they do not claim at the same time.
    common::duration suspect_after = std::chrono::seconds(3);
    common::duration claim_delay{0};
    /// An owner that writes nothing looks for a successor's record at this interval. A successor
    /// may have accepted jobs and died without a majority, and nothing else tells the owner.
    common::duration log_check = std::chrono::seconds(10);
    /// Maximum number of log entries waiting for the store; further submissions are refused.
    std::size_t max_waiting_entries = 10'000;
    worker_fleet_settings fleet;
    journal_settings log;
    task_runner_settings tasks;
    placement::placement_settings placement;
};

enum class reply_status { accepted, ok, refused, not_owner, not_found };

/// Why a submission, cancellation or query is refused.
enum class refusal {
    none,
    store_unavailable, ///< the log could not be written before the deadline
    queue_full,        ///< too many entries wait for the store
    id_conflict,       ///< the id belongs to a job with different content
    infeasible,        ///< no worker can run the job
    job_too_large,     ///< more tasks than the configuration allows
    team_limit,        ///< the team has too many jobs that have not started
    ownership_lost,    ///< the shard was lost while the entry was being written
    draining,          ///< planned shutdown
};
[[nodiscard]] std::string_view to_string(refusal reason);

/// Reply to a caller. The outcome tells whether a refused submission can still take effect; not_run
/// means that it cannot.
struct job_reply {
    reply_status status = reply_status::ok;
    std::string body;
    refusal reason = refusal::none;
    std::string detail;
    execution_status outcome = execution_status::not_run;
    std::string owner_hint;
};

/// Reply to the call with this ticket.
struct reply_action {
    std::uint64_t ticket = 0;
    job_reply reply;
};

struct ownership_changed {
    ownership_state state = ownership_state::standby;
    std::uint64_t epoch = 0;
    std::string_view reason;
};

using shard_action = std::variant<store::store_call, adopt_call, sync_call, events_call,
                                  reply_action, ownership_changed>;

/// One scheduler's state for one shard: ownership, the jobs of the shard and its workers. Performs
/// no I/O and reads no clock: it is given events and the current time, and returns the actions to
/// carry out from take_actions(). Call on_time() after every event and when next_wakeup() is due.
class shard_engine {
public:
    shard_engine(shard_engine_settings settings, common::counters& counters);

    // Events.
    /// A successfully read worker list, restricted to the workers of this shard.
    void on_worker_list(common::time_point now, const std::vector<membership::instance>& workers);
    void on_store_response(common::time_point now, std::uint64_t call,
                           const store::kv_response& response);
    void on_adopt(common::time_point now, const std::string& worker, std::uint64_t call,
                  const adopt_result& result);
    void on_sync(common::time_point now, const std::string& worker, std::uint64_t call,
                 const sync_result& result);
    void on_events(common::time_point now, const std::string& worker, std::uint64_t call,
                   const events_result& result);
    /// Another scheduler has announced that it owns the shard.
    void on_owner_heartbeat(common::time_point now, const std::string& owner, std::uint64_t epoch);
    /// The owner is known to have released the shard, or its process is known to have ended.
    void on_owner_released(common::time_point now, const std::string& owner);

    void set_policy(common::time_point now, shard_policy policy) {
        m_runner.set_policy(now, std::move(policy));
    }

    /// See task_runner::set_quota_part().
    void set_quota_part(const std::string& team, const placement::resources& part) {
        m_runner.set_quota_part(team, part);
    }
    [[nodiscard]] std::vector<placement::quota_demand> quota_demands() const {
        return m_runner.quota_demands();
    }
    /// True while this process may report the quota usage of the shard: it knows the running
    /// tasks, holds authority over the workers, and the authority of the previous owner has
    /// expired.
    [[nodiscard]] bool may_report_quotas(common::time_point now);

    // Calls. Each ticket gets exactly one reply.
    /// Throws invalid_job when the body is not a job.
    void on_submit(common::time_point now, std::uint64_t ticket, const job_spec& job,
                   common::time_point deadline);
    void on_cancel(common::time_point now, std::uint64_t ticket, const std::string& job,
                   common::time_point deadline);
    [[nodiscard]] job_reply status(const std::string& job) const;
    [[nodiscard]] job_reply explain(const std::string& job) const;

    /// Planned shutdown: accepts no jobs and starts no tasks; releases the shard once the log is
    /// written.
    void drain(common::time_point now);

    void on_time(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_wakeup(common::time_point now) const;
    [[nodiscard]] std::vector<shard_action> take_actions();

    [[nodiscard]] ownership_state state() const { return m_ownership.state(); }
    [[nodiscard]] bool owns() const { return m_ownership.owns(); }
    [[nodiscard]] bool recovering() const { return m_runner.recovering(); }
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }
    [[nodiscard]] const job_table& table() const { return m_journal.table(); }
    [[nodiscard]] const std::string& owner_hint() const { return m_owner_hint; }
    [[nodiscard]] std::size_t waiting_tasks() const { return m_runner.waiting(); }
    /// Free resources of the workers that may be given new tasks.
    [[nodiscard]] placement::resources free_resources() const { return m_runner.free_resources(); }

private:
    /// Versions of the inputs from which a result about the worker sets was computed.
    struct set_versions {
        std::uint64_t fleet = 0;
        std::uint64_t table = 0;
        std::optional<std::uint64_t> pending_tag;

        bool operator==(const set_versions&) const = default;
    };

    // shard_engine.cpp
    [[nodiscard]] common::time_point claim_time() const;
    [[nodiscard]] set_versions versions() const;
    void check_owner_timeout(common::time_point now);
    void on_journal_loaded(common::time_point now);
    void on_entry_written(common::time_point now, const entry_written& written);
    void on_append_conflict(common::time_point now, const append_conflict& conflict);
    void claim(common::time_point now);
    void take_over(common::time_point now, std::uint64_t epoch);
    void abandon_claim(common::time_point now);
    void step_down(common::time_point now, std::string_view reason);
    void check_fence(common::time_point now);
    void check_log(common::time_point now);
    void check_restarted_workers(common::time_point now);
    void check_majority(common::time_point now);
    /// Every worker of the logged set has terminated; also true for an empty set.
    [[nodiscard]] bool is_logged_set_gone() const;
    void check_worker_set();
    void update_quorums();
    [[nodiscard]] bool logged_set_is_present();
    void check_release();
    void report_ownership_change(std::string_view reason);
    bool process_journal_events(common::time_point now);
    bool process_fleet_events(common::time_point now);
    void on_fleet_event(common::time_point now, const fleet_event& event);

    // shard_engine_calls.cpp
    [[nodiscard]] std::optional<job_reply> check_submission(const job_spec& job) const;
    [[nodiscard]] std::optional<job_reply> check_limits(const job_spec& job) const;
    bool join_pending(std::uint64_t ticket, const job_spec& job, common::time_point deadline);
    void check_call_deadlines(common::time_point now);
    void finish_call(common::time_point now, std::uint64_t tag);
    void fail_calls(const std::vector<std::uint64_t>& undetermined_tags);
    void reply(std::uint64_t ticket, job_reply response);
    [[nodiscard]] job_reply refuse(refusal reason, std::string detail,
                                   execution_status outcome) const;
    [[nodiscard]] job_reply not_owner() const;

    shard_engine_settings m_settings;
    common::counters& m_counters;
    shard_ownership m_ownership;
    journal m_journal;
    worker_fleet m_fleet;
    task_runner m_runner;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_known_epoch = 0;
    std::string m_owner_hint;
    bool m_draining = false;
    /// Consecutive claims that were fenced before the end of the recovery.
    unsigned m_failed_claims = 0;
    std::optional<common::time_point> m_owner_last_heard;
    std::optional<std::uint64_t> m_claim_tag;
    std::optional<std::uint64_t> m_workers_tag;
    std::optional<std::uint64_t> m_release_tag;
    std::set<std::string> m_pending_workers;
    bool m_replaces_owner = false;
    /// While this process owns the shard.
    common::time_point m_next_log_check;
    /// Time at which the authority of the previous owner has certainly expired.
    common::time_point m_former_authority_end{};
    /// Versions for which the quorums were last set, and for which the logged worker set was last
    /// found equal to the set of present workers. Empty when unknown.
    std::optional<set_versions> m_quorum_versions;
    std::optional<set_versions> m_present_versions;
    pending_calls m_calls;
    std::vector<shard_action> m_actions;
};

} // namespace buckthornspar::scheduling
