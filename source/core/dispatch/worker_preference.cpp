#include "core/dispatch/worker_preference.h"

#include "core/dispatch/plan_state.h"
#include "core/dispatch/run_observer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthornspar::dispatch {

namespace {

// Speeds are compared in classes, because what is learnt of equal workers differs a little.
constexpr double class_width = 0.25;
constexpr double disturbance_step = 0.05;

/// Keeps the workers with the smallest keys that together hold count tasks.
template <typename KeyOf>
tasks_by_worker keep_best(tasks_by_worker fitting, std::int64_t count, KeyOf key_of) {
    std::vector<std::pair<int, std::size_t>> keys;
    for (std::size_t i = 0; i < fitting.size(); ++i) {
        keys.emplace_back(key_of(fitting[i].first), i);
    }
    std::sort(keys.begin(), keys.end());
    tasks_by_worker kept;
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        if (sum >= count && keys[i].first != keys[i - 1].first) {
            break;
        }
        kept.push_back(fitting[keys[i].second]);
        sum += kept.back().second;
    }
    return kept;
}

} // namespace

worker_preference::worker_preference(const learning::run_learning* learnt, std::size_t workers)
    : m_learnt(learnt), m_workers(workers) {}

worker_preference::step_preference worker_preference::of_step(const waiting_step& step) const {
    step_preference result;
    if (m_learnt == nullptr) {
        return result;
    }
    result.m_owner = this;
    result.m_gang_size = step.spec->count;
    if (m_learnt->has_interference()) {
        result.m_kind = m_learnt->pairs().find_kind(kind_of(*step.spec, step.queue->name));
        result.m_by_kind = m_learnt->pairs().related(result.m_kind) != 0;
    }
    result.m_by_speed = m_learnt->is_uneven();
    return result;
}

learning::kind_set& worker_preference::kinds_on(const worker_entry& worker) const {
    m_kinds.resize(m_workers);
    auto& known = m_kinds[worker.slot];
    if (!known) {
        known = worker.kinds.all();
    }
    return *known;
}

std::int64_t worker_preference::effective_cpu(const worker_free_capacity& capacity) const {
    if (m_learnt == nullptr || !m_learnt->is_uneven() || capacity.worker == nullptr) {
        return capacity.free.cpu_milli;
    }
    const auto speed = std::exp(m_learnt->log_speed(capacity.worker->slot));
    return std::llround(static_cast<double>(capacity.free.cpu_milli) * speed);
}

void worker_preference::note_start(const step_spec& spec, const queue_settings& queue,
                                   const worker_entry& worker) {
    if (m_learnt != nullptr && m_learnt->has_interference()) {
        kinds_on(worker) |=
            learning::set_of(m_learnt->pairs().find_kind(kind_of(spec, queue.name)));
    }
}

int worker_preference::step_preference::class_of(const worker_entry& worker) const {
    return static_cast<int>(std::lround(m_owner->m_learnt->log_speed(worker.slot) / class_width));
}

int worker_preference::step_preference::disturbance_on(const worker_entry& worker) const {
    const auto cost = m_owner->m_learnt->pairs().cost(m_kind, m_owner->kinds_on(worker));
    return static_cast<int>(std::lround(cost / disturbance_step));
}

worker_rank worker_preference::step_preference::rank(const worker_entry& worker) const {
    worker_rank result;
    if (m_by_speed) {
        result.slowness = -class_of(worker);
    }
    if (m_by_kind) {
        result.disturbance = disturbance_on(worker);
    }
    return result;
}

tasks_by_worker worker_preference::step_preference::select_for_gang(
    tasks_by_worker fitting, const std::vector<worker_free_capacity>& capacities) const {
    if (m_by_kind) {
        fitting = keep_best(std::move(fitting), m_gang_size,
                            [&](worker_slot w) { return disturbance_on(*capacities[w].worker); });
    }
    if (m_by_speed) {
        fitting = keep_best(std::move(fitting), m_gang_size,
                            [&](worker_slot w) { return -class_of(*capacities[w].worker); });
    }
    return fitting;
}

} // namespace buckthornspar::dispatch
