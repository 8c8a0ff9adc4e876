#pragma once

#include "core/common/plugin_registry.h"
#include "core/placement/worker_table.h"

#include <cstdint>
#include <optional>

namespace buckthornspar::placement {

/// Restricts the workers that may be chosen.
class worker_filter {
public:
    virtual ~worker_filter() = default;
    [[nodiscard]] virtual bool accepts(worker_index worker) const = 0;

protected:
    worker_filter() = default;
    worker_filter(const worker_filter&) = default;
    worker_filter& operator=(const worker_filter&) = default;
};

/// How thoroughly to search for a worker that the filter accepts.
enum class search_effort {
    /// May miss a suitable worker. Used for preferences that are relaxed afterwards.
    bounded,
    /// Finds a suitable worker whenever there is one.
    exhaustive
};

/// Chooses a worker for a demand. Deterministic for a given seed and sequence of calls.
class scorer {
public:
    virtual ~scorer() = default;

    /// Called after each change of a worker's free resources or state.
    virtual void worker_changed(const worker_table& workers, worker_index worker) = 0;

    /// Returns a worker that can take the demand and that the filter accepts, if any. A null filter
    /// accepts all workers.
    [[nodiscard]] virtual std::optional<worker_index> choose(const worker_table& workers,
                                                             const resources& demand,
                                                             const worker_filter* filter,
                                                             search_effort effort) = 0;

protected:
    scorer() = default;
    scorer(const scorer&) = default;
    scorer& operator=(const scorer&) = default;
};

using scorer_registry = common::plugin_registry<scorer, std::uint64_t>;
using scorer_registration = common::plugin_registration<scorer, std::uint64_t>;

} // namespace buckthornspar::placement
