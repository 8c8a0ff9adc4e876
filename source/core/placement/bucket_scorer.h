#pragma once

#include "core/placement/bucket_index.h"
#include "core/placement/scorer.h"

namespace buckthornspar::placement {

/// A demand and the free resources of a worker, as fractions of the largest worker of the fleet.
struct fit {
    double cpu_demand = 0;
    double memory_demand = 0;
    double cpu_free = 0;
    double memory_free = 0;

    [[nodiscard]] double cpu_left() const { return cpu_free - cpu_demand; }
    [[nodiscard]] double memory_left() const { return memory_free - memory_demand; }
};

/// Smaller is better.
using fit_score = double (*)(const fit&);

/// Best fit over the cells of a bucket_index. A decision visits at most a few hundred cells, and a
/// few workers in the promising ones; it does not scan the shard.
class bucket_scorer : public scorer {
public:
    explicit bucket_scorer(fit_score score) : m_score(score) {}

    void worker_changed(const worker_table& workers, worker_index worker) override;
    [[nodiscard]] std::optional<worker_index> choose(const worker_table& workers,
                                                     const resources& demand,
                                                     const worker_filter* filter,
                                                     search_effort effort) override;

private:
    struct search;

    void search_plane(search& s, unsigned plane) const;
    void search_cell(search& s, const std::vector<worker_index>& cell) const;

    fit_score m_score;
    bucket_index m_index;
    resources m_largest;
    std::size_t m_rotation = 0;
};

} // namespace buckthornspar::placement
