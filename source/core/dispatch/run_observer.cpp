#include "core/dispatch/run_observer.h"

#include "core/common/logging.h"

#include <cmath>
#include <functional>

namespace buckthornspar::dispatch {

using common::log_event;
using common::severity;

namespace {

// Metrics of pairs that have been believed, so that the number of series is bounded.
constexpr std::size_t max_pair_metrics = 32;

std::int64_t to_percent(double log_slowdown) {
    return std::lround((std::exp(log_slowdown) - 1.0) * 100.0);
}

} // namespace

const std::string& kind_of(const step_spec& spec, const std::string& queue) {
    return spec.image.empty() ? queue : spec.image;
}

learning::step_baseline::step_id learning_id(const task_key& task) {
    return std::hash<task_key>{}({task.job, task.occurrence, task.step, 0});
}

void run_observer::on_start(worker_entry& worker, const run_key& run, placed_run& placed,
                            const task_info& task) {
    auto& observed = placed.observed;
    observed.kind = m_learnt.pairs().add_kind(kind_of(task.spec, task.queue));
    worker.kinds.add(observed.kind);
    // Members of a gang end together, a filler runs at the speed that is left, and a long-running
    // task has no end. On another rack than that of the data a task takes longer.
    observed.comparable = task.whole && !task.spec.gang && !task.spec.filler &&
                          !task.spec.long_running && task.spec.preferred_rack.empty() &&
                          run.task.index < learning::step_baseline::max_entries;
    if (observed.comparable) {
        observed.step = learning_id(run.task);
        observed.neighbours = worker.kinds.beside(observed.kind);
    }
}

void run_observer::on_end(common::time_point now, const worker_entry& worker,
                          const ended_run& ended, const placed_run& placed, const task_info& task) {
    // Repeated orders may have begun the run much later than it was first ordered.
    const bool comparable = ended.how == run_end::succeeded && placed.observed.comparable &&
                            !placed.uncertain && !placed.abandoned && placed.unanswered_orders == 0;
    if (!comparable) {
        return;
    }
    const auto took = common::to_milliseconds(now - placed.ordered_at);
    const auto stragglers = m_learnt.add(
        {worker.slot, placed.observed, worker.kinds.beside(placed.observed.kind), task.queue,
         task.spec.count, static_cast<double>(took), static_cast<double>(task.spec.estimate_ms)});
    if (stragglers > 0) {
        m_counters.get("stragglers_total").add(static_cast<std::int64_t>(stragglers));
    }
    report_changes();
}

void run_observer::on_restart(worker_slot worker) {
    m_learnt.forget_worker(worker);
    report_changes();
}

common::duration run_observer::expected_duration(const worker_entry& worker, const run_key& run,
                                                 const step_spec& spec,
                                                 const std::string& queue) const {
    if (!m_learnt.is_uneven() || spec.long_running) {
        return std::chrono::milliseconds(spec.estimate_ms);
    }
    const auto ms = m_learnt.expected_ms(worker.slot, learning_id(run.task), queue,
                                         static_cast<double>(spec.estimate_ms));
    return std::chrono::milliseconds(std::llround(ms));
}

void run_observer::report_changes() {
    if (const auto uneven = m_learnt.uneven_workers(); uneven != m_reported_uneven) {
        m_reported_uneven = uneven;
        m_counters.get("uneven_workers").set(static_cast<std::int64_t>(uneven));
    }
    for (const auto& change : m_learnt.pairs().take_changes()) {
        const auto percent = to_percent(change.log_slowdown);
        log_event(severity::info, change.believed ? "interference_found" : "interference_gone",
                  {{"kind", change.kind},
                   {"neighbour", change.neighbour},
                   {"slowdown_percent", percent}});
        m_counters.get(change.believed ? "interference_found_total" : "interference_gone_total")
            .add();
        const auto pair = change.kind + " beside " + change.neighbour;
        if (m_pair_metrics.contains(pair) || m_pair_metrics.size() < max_pair_metrics) {
            m_pair_metrics.insert(pair);
            m_counters.get("interference_slowdown_percent", "pair", pair).set(percent);
        }
    }
}

} // namespace buckthornspar::dispatch
