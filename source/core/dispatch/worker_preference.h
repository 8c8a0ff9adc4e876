#pragma once

#include "core/dispatch/capacity_fit.h"
#include "core/dispatch/step_order.h"
#include "core/dispatch/worker_registry.h"
#include "core/learning/run_learning.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace buckthornspar::dispatch {

struct worker_free_capacity;

/// How well a worker suits a step by what has been learnt; the smallest is best. All workers are
/// alike while nothing has been learnt.
struct worker_rank {
    /// Slowdown that a task of the step suffers and causes there, in steps of 5 %.
    int disturbance = 0;
    /// Fast workers first. Steps are placed in the order of their urgency, so that those with the
    /// least slack take the fast workers, and those that can wait get what is left.
    int slowness = 0;

    auto operator<=>(const worker_rank&) const = default;
};

/// The choice among workers on which work fits, by their learnt speeds and by the kinds of work
/// that run there. Lives as long as a plan.
class worker_preference {
public:
    worker_preference(const learning::run_learning* learnt, std::size_t workers);

    /// The preference of one step.
    class step_preference {
    public:
        [[nodiscard]] worker_rank rank(const worker_entry& worker) const;
        /// Keeps the workers for a gang: those with the least disturbance, and of these the fastest
        /// ones, because the slowest member holds all others. They have room for the whole gang if
        /// all have.
        [[nodiscard]] tasks_by_worker
        select_for_gang(tasks_by_worker fitting,
                        const std::vector<worker_free_capacity>& capacities) const;

    private:
        friend class worker_preference;

        [[nodiscard]] int class_of(const worker_entry& worker) const;
        [[nodiscard]] int disturbance_on(const worker_entry& worker) const;

        const worker_preference* m_owner = nullptr;
        std::int64_t m_gang_size = 0;
        learning::kind_index m_kind = learning::no_kind;
        bool m_by_kind = false;
        bool m_by_speed = false;
    };
    [[nodiscard]] step_preference of_step(const waiting_step& step) const;
    /// The free processor capacity at the common speed, in thousandths of a core.
    [[nodiscard]] std::int64_t effective_cpu(const worker_free_capacity& capacity) const;
    /// A task of the step starts on the worker.
    void note_start(const step_spec& spec, const queue_settings& queue, const worker_entry& worker);

private:
    [[nodiscard]] learning::kind_set& kinds_on(const worker_entry& worker) const;

    const learning::run_learning* m_learnt;
    /// Kinds of work on each worker, by slot; only read while pairs are believed.
    mutable std::vector<std::optional<learning::kind_set>> m_kinds;
    std::size_t m_workers;
};

} // namespace buckthornspar::dispatch
