#include "core/service/job_intake.h"

#include "core/common/error.h"
#include "core/common/logging.h"
#include "core/dispatch/progress.h"
#include "core/service/store_keys.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::service {

using common::log_event;
using common::severity;
using namespace dispatch;

namespace {

// Delay before a failed store call is retried; doubles with each attempt up to the maximum.
constexpr auto initial_retry_delay = std::chrono::milliseconds(30);
constexpr auto max_retry_delay = std::chrono::milliseconds(240);
// A call that has certainly had no effect is given up after this time: its caller gains more by
// retrying later than by waiting here.
constexpr auto max_refused_time = std::chrono::milliseconds(350);

// Empty for a job without a customer, and for a record that cannot be read.
std::string customer_of_ended(const std::string& job, const std::string& record) {
    try {
        return read_progress(job, record).origin.customer;
    } catch (const common::error&) {
        return {};
    }
}

} // namespace

struct job_intake::call {
    job_spec job;
    customers::job_access access;
    common::time_point received;
    common::time_point deadline;
    intake_completion complete;
    std::string record;
    unsigned attempts = 0;
    /// A commit was not answered; it may have been applied, or may still be.
    bool in_doubt = false;
    job_state state = job_state::queued;
    std::string accepted_by;
    customers::job_origin origin;
};

void job_intake::submit(const job_spec& job, common::time_point deadline,
                        intake_completion complete) {
    auto work = std::make_shared<call>();
    work->job = job;
    work->deadline = deadline;
    work->complete = std::move(complete);
    work->record = write_job(job);
    if (work->record.size() > m_max_record_bytes) {
        ++m_in_progress;
        finish(work, intake_outcome::too_large);
        return;
    }
    run(work, &job_intake::try_submit);
}

void job_intake::cancel(const std::string& job, const customers::job_access& access,
                        common::time_point deadline, intake_completion complete) {
    auto work = std::make_shared<call>();
    work->job.id = job;
    work->access = access;
    work->deadline = deadline;
    work->complete = std::move(complete);
    run(work, &job_intake::try_cancel);
}

void job_intake::query(const std::string& job, const customers::job_access& access,
                       common::time_point deadline, intake_completion complete) {
    auto work = std::make_shared<call>();
    work->job.id = job;
    work->access = access;
    work->deadline = deadline;
    work->complete = std::move(complete);
    run(work, &job_intake::try_query);
}

void job_intake::run(const std::shared_ptr<call>& work,
                     void (job_intake::*step)(const std::shared_ptr<call>&)) {
    ++m_in_progress;
    work->received = m_clock.now();
    if (!m_health.usable() && !m_relay.available()) {
        m_counters.get("intake_refusals_total", "reason", "store_outage").add();
        finish(work, intake_outcome::not_stored);
        return;
    }
    (this->*step)(work);
}

bool job_intake::use_relay(const call& work) const {
    const bool even_attempt = work.attempts % 2 == 0;
    return m_relay.available() && (!m_health.usable() || even_attempt);
}

void job_intake::read(const call& work, const std::string& key, store_completion complete) {
    if (use_relay(work)) {
        m_relay.read(key, std::move(complete));
        return;
    }
    m_store.read(key, std::move(complete));
}

void job_intake::commit(const call& work, const store_commit& change, store_completion complete) {
    if (use_relay(work)) {
        m_counters.get("intake_relayed_total").add();
        m_relay.commit(change, std::move(complete));
        return;
    }
    m_store.commit(change, std::move(complete));
}

void job_intake::finish(const std::shared_ptr<call>& work, intake_outcome outcome) {
    --m_in_progress;
    work->complete({outcome, work->state, work->attempts, work->accepted_by, work->origin});
}

void job_intake::retry(const std::shared_ptr<call>& work, store_status status,
                       void (job_intake::*step)(const std::shared_ptr<call>&)) {
    const auto pause = std::min<common::duration>(
        initial_retry_delay * (1U << std::min(work->attempts, 4U)), max_retry_delay);
    const auto now = m_clock.now();
    const bool refused_too_long = !work->in_doubt && now - work->received > max_refused_time;
    if (refused_too_long || now + pause >= work->deadline) {
        log_event(severity::warning, "store_gave_no_answer",
                  {{"job", work->job.id},
                   {"attempts", work->attempts},
                   {"in_doubt", work->in_doubt ? 1 : 0}});
        finish(work, work->in_doubt ? intake_outcome::unknown : intake_outcome::not_stored);
        return;
    }
    m_counters
        .get("intake_repeats_total", "reason",
             status == store_status::unavailable ? "refused" : "no_answer")
        .add();
    m_loop.post_after(pause, [this, work, step] { (this->*step)(work); });
}

void job_intake::try_submit(const std::shared_ptr<call>& work) {
    ++work->attempts;
    if (!m_health.last_call_failed()) {
        commit_job(work);
        return;
    }
    // The last store call has failed, so read before committing: an unanswered commit has an
    // unknown outcome, and callers do not retry what may have been done. A failed read has no
    // effect.
    read(*work, job_key(work->job.id), [this, work](const store_result& found) {
        if (found.status != store_status::ok && found.status != store_status::not_found) {
            retry(work, found.status, &job_intake::try_submit);
            return;
        }
        commit_job(work);
    });
}

void job_intake::commit_job(const std::shared_ptr<call>& work) {
    store_commit change;
    const auto& id = work->job.id;
    change.expect = {{job_key(id), 0}, {progress_key(id), 0}};
    change.put.push_back({job_key(id), work->record, 0});
    commit(*work, change, [this, work](const store_result& result) {
        switch (result.status) {
        case store_status::ok:
            work->accepted_by = work->job.accepted_by;
            finish(work, intake_outcome::accepted);
            return;
        case store_status::conflict:
            on_submit_conflict(work, result.items);
            return;
        default:
            work->in_doubt |= result.status != store_status::unavailable;
            retry(work, result.status, &job_intake::try_submit);
        }
    });
}

void job_intake::on_submit_conflict(const std::shared_ptr<call>& work,
                                    const std::vector<store_item>& items) {
    for (const auto& item : items) {
        if (item.key != job_key(work->job.id) || item.revision == 0) {
            continue;
        }
        try {
            const auto stored = read_job(item.value);
            const bool same = stored.same_content(work->job);
            work->accepted_by = stored.accepted_by;
            finish(work, same ? intake_outcome::accepted : intake_outcome::conflict);
        } catch (const common::error& e) {
            log_event(severity::error, "job_unreadable",
                      {{"job", work->job.id}, {"reason", e.what()}});
            finish(work, intake_outcome::conflict);
        }
        return;
    }
    // Only the record of an ended job is left: this is a late repeat of its submission, unless it
    // belongs to another customer.
    const bool other_customer =
        std::any_of(items.begin(), items.end(), [&work](const store_item& item) {
            const auto customer = item.key == progress_key(work->job.id) && item.revision != 0
                                      ? customer_of_ended(work->job.id, item.value)
                                      : std::string();
            return !customer.empty() && customer != work->job.customer;
        });
    finish(work, other_customer ? intake_outcome::conflict : intake_outcome::accepted);
}

void job_intake::try_cancel(const std::shared_ptr<call>& work) {
    ++work->attempts;
    const auto key = job_key(work->job.id);
    read(*work, key, [this, work, key](const store_result& found) {
        if (found.status == store_status::not_found) {
            read_progress_of(work, false);
            return;
        }
        if (found.status != store_status::ok || found.items.empty()) {
            retry(work, found.status, &job_intake::try_cancel);
            return;
        }
        if (!may_reach_record(*work, found.items.front().value)) {
            finish(work, intake_outcome::no_such_job);
            return;
        }
        store_commit change;
        change.expect = {{key, found.items.front().revision}};
        change.put.push_back({cancel_key(work->job.id), "{}", 0});
        commit(*work, change, [this, work](const store_result& result) {
            if (result.status == store_status::ok) {
                finish(work, intake_outcome::accepted);
                return;
            }
            work->in_doubt |= result.status == store_status::unknown;
            retry(work, result.status, &job_intake::try_cancel);
        });
    });
}

bool job_intake::may_reach_record(call& work, const std::string& record) {
    try {
        work.origin = read_job(record).origin();
    } catch (const common::error& e) {
        // Nobody can tell whose job it is; its state alone is not worth a lost cancellation.
        log_event(severity::error, "job_unreadable", {{"job", work.job.id}, {"reason", e.what()}});
    }
    return may_reach(work.access, work.origin);
}

void job_intake::try_query(const std::shared_ptr<call>& work) {
    ++work->attempts;
    // Reads the job key first, because the commit that writes the final record removes it.
    read(*work, job_key(work->job.id), [this, work](const store_result& result) {
        if (result.status != store_status::ok && result.status != store_status::not_found) {
            retry(work, result.status, &job_intake::try_query);
            return;
        }
        if (!result.items.empty() && !may_reach_record(*work, result.items.front().value)) {
            finish(work, intake_outcome::no_such_job);
            return;
        }
        read_progress_of(work, result.status == store_status::ok);
    });
}

void job_intake::read_progress_of(const std::shared_ptr<call>& work, bool job_exists) {
    read(*work, progress_key(work->job.id), [this, work, job_exists](const store_result& result) {
        if (result.status == store_status::not_found) {
            finish(work, job_exists ? intake_outcome::found : intake_outcome::no_such_job);
            return;
        }
        if (result.status != store_status::ok || result.items.empty()) {
            retry(work, result.status, &job_intake::try_query);
            return;
        }
        try {
            const auto progress = read_progress(work->job.id, result.items.front().value);
            work->state = is_final(progress.state) ? progress.state : job_state::running;
            if (!progress.origin.customer.empty()) {
                work->origin = progress.origin;
            }
            finish(work, may_reach(work->access, work->origin) ? intake_outcome::found
                                                               : intake_outcome::no_such_job);
        } catch (const common::error& e) {
            log_event(severity::error, "progress_unreadable",
                      {{"job", work->job.id}, {"reason", e.what()}});
            finish(work, intake_outcome::unknown);
        }
    });
}

} // namespace buckthornspar::service
