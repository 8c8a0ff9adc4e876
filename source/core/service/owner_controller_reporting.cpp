#include "core/common/logging.h"
#include "core/service/owner_controller.h"

#include <numeric>

namespace buckthornspar::service {

using common::log_event;
using common::severity;

// A line or two a second, from the owner only. They show whether a late decision was made with late
// input (ages of the watches), behind a busy event loop (delay), or because planning took long, and
// why the work that waits is not started.
void owner_controller::report_load(common::time_point now) {
    const auto load = m_load.take(now);
    m_env.counters.get("owner_loop_delay_ms").set(common::to_milliseconds(load.max_delay));
    m_env.counters.get("owner_jobs_age_ms").set(common::to_milliseconds(m_active_watcher->age()));
    update_shedding(load.max_delay);
    const auto& queued = m_dispatcher.pending_by_queue();
    const auto pending_jobs =
        std::accumulate(queued.begin(), queued.end(), std::size_t{0},
                        [](std::size_t sum, const auto& entry) { return sum + entry.second; });
    const auto reach = m_dispatcher.quorum_reach(now);
    m_customer_gauges.update(m_dispatcher.workers().usage());
    m_env.counters.get("owner_quorum_workers").set(static_cast<std::int64_t>(reach.workers));
    m_env.counters.get("owner_quorum_accepted").set(static_cast<std::int64_t>(reach.accepted));
    log_event(severity::info, "owner_load",
              {{"delay_ms", common::to_milliseconds(load.max_delay)},
               {"events", load.events},
               {"plans", load.plans},
               {"plan_ms", common::to_milliseconds(load.plan_time)},
               {"longest_plan_ms", common::to_milliseconds(load.max_plan_time)},
               {"jobs_age_ms", common::to_milliseconds(m_active_watcher->age())},
               {"list_age_ms", common::to_milliseconds(m_worker_watcher->age())},
               {"store_down", m_store_down ? 1 : 0},
               {"jobs", m_dispatcher.jobs().size()},
               {"pending_jobs", pending_jobs},
               {"job_memory_kb", m_dispatcher.job_memory() / 1024},
               {"pending_starts", m_dispatcher.pending_starts()},
               {"shedding", m_shedding.level()}});
    const auto waiting = m_dispatcher.waiting();
    if (waiting.total() > 0) {
        log_event(
            m_dispatcher.is_stalled(now) ? severity::warning : severity::info, "owner_waits",
            {{"causes", waiting.describe()},
             {"authority", m_dispatcher.has_authority(now) ? 1 : 0},
             {"permitted_ms", common::to_milliseconds(m_dispatcher.starts_permitted_until() - now)},
             {"recovered", m_dispatcher.recovered() ? 1 : 0},
             {"ticket_requests", m_dispatcher.pending_ticket_requests()}});
    }
}

void owner_controller::update_shedding(common::duration loop_delay) {
    load_signals signals;
    signals.jobs_age = m_active_watcher->age();
    signals.list_age = m_worker_watcher->age();
    signals.loop_delay = loop_delay;
    signals.store_down = m_store_down;
    const auto limit = m_env.dispatcher.max_pending_starts;
    signals.starts_limited = limit != 0 && m_dispatcher.pending_starts() * 10 >= limit * 9;
    if (!m_shedding.on_window(signals)) {
        return;
    }
    const auto poll_wait = m_shedding.poll_wait(m_env.dispatcher.poll_wait);
    m_dispatcher.set_poll_wait(poll_wait);
    m_env.counters.get("owner_shedding_level").set(m_shedding.level());
    log_event(severity::warning, "owner_shedding",
              {{"level", m_shedding.level()},
               {"poll_wait_ms", common::to_milliseconds(poll_wait)},
               {"ticket_requests", m_shedding.max_ticket_requests()},
               {"jobs_age_ms", common::to_milliseconds(signals.jobs_age)},
               {"list_age_ms", common::to_milliseconds(signals.list_age)},
               {"delay_ms", common::to_milliseconds(loop_delay)},
               {"starts_limited", signals.starts_limited ? 1 : 0}});
}

} // namespace buckthornspar::service
