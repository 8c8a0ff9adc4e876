#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/common/name_table.h"
#include "core/dispatch/job.h"
#include "core/dispatch/shared_store.h"
#include "core/net/event_loop.h"
#include "core/service/store_health.h"
#include "core/service/store_relay.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::service {

/// Outcome of a call that changes or reads the stored state of a job.
enum class intake_outcome {
    accepted,    ///< stored, now or by an earlier call with the same id
    found,       ///< query: the state is known
    no_such_job, ///< also for a job that the caller may not reach
    conflict,    ///< the id is in use for a job with other content
    not_stored,  ///< certainly not stored; the job never runs
    unknown,     ///< the store did not answer: the change may have been made
    too_large,   ///< the store does not take the record of the job; the job never runs
};
inline constexpr common::name_table<intake_outcome, 7> intake_outcome_names{
    "intake outcome",
    {"accepted", "found", "no_such_job", "conflict", "not_stored", "unknown", "too_large"}};

struct intake_result {
    intake_outcome outcome = intake_outcome::unknown;
    dispatch::job_state state = dispatch::job_state::queued;
    /// Number of attempts at the store.
    unsigned store_calls = 0;
    /// For an accepted submission the node that accepted it first; empty when unknown.
    std::string accepted_by;
    /// Of a job that was found; without a customer when it belongs to none.
    customers::job_origin origin;
};

using intake_completion = std::function<void(intake_result)>;

/// Stores submissions and cancellations before they are acknowledged; works on every node, without
/// the owner. Each call is retried until its outcome is certain or its deadline is near.
/// Submissions with the same id denote the same job. During an outage in which neither this node
/// nor a relay reaches the store, calls are refused at once, so that the caller has time to retry.
class job_intake {
public:
    job_intake(dispatch::shared_store& store, store_relay& relay, const store_health& health,
               net::event_loop& loop, const common::clock& clock, common::counters& counters,
               std::size_t max_record_bytes = std::size_t{1} << 20U)
        : m_store(store),
          m_relay(relay),
          m_health(health),
          m_loop(loop),
          m_clock(clock),
          m_counters(counters),
          m_max_record_bytes(max_record_bytes) {}

    void submit(const dispatch::job_spec& job, common::time_point deadline,
                intake_completion complete);
    void cancel(const std::string& job, const customers::job_access& access,
                common::time_point deadline, intake_completion complete);
    void query(const std::string& job, const customers::job_access& access,
               common::time_point deadline, intake_completion complete);

    [[nodiscard]] std::size_t in_progress() const { return m_in_progress; }

private:
    struct call;
    void run(const std::shared_ptr<call>& work,
             void (job_intake::*step)(const std::shared_ptr<call>&));
    void try_submit(const std::shared_ptr<call>& work);
    void commit_job(const std::shared_ptr<call>& work);
    void on_submit_conflict(const std::shared_ptr<call>& work,
                            const std::vector<dispatch::store_item>& items);
    void try_cancel(const std::shared_ptr<call>& work);
    void try_query(const std::shared_ptr<call>& work);
    void read_progress_of(const std::shared_ptr<call>& work, bool job_exists);
    /// Whether the caller may reach the job of the stored record.
    [[nodiscard]] static bool may_reach_record(call& work, const std::string& record);
    void retry(const std::shared_ptr<call>& work, dispatch::store_status status,
               void (job_intake::*step)(const std::shared_ptr<call>&));
    void finish(const std::shared_ptr<call>& work, intake_outcome outcome);
    // Access to the store, directly or relayed by another node while this one cannot reach it.
    [[nodiscard]] bool use_relay(const call& work) const;
    void read(const call& work, const std::string& key, dispatch::store_completion complete);
    void commit(const call& work, const dispatch::store_commit& change,
                dispatch::store_completion complete);

    dispatch::shared_store& m_store;
    store_relay& m_relay;
    const store_health& m_health;
    net::event_loop& m_loop;
    const common::clock& m_clock;
    common::counters& m_counters;
    std::size_t m_max_record_bytes = 0;
    std::size_t m_in_progress = 0;
};

} // namespace buckthornspar::service
