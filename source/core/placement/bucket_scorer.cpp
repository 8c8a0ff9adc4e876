#include "core/placement/bucket_scorer.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace buckthornspar::placement {

namespace {

/// Maximum number of workers examined per cell unless the search is exhaustive.
constexpr std::size_t probes_per_cell = 8;
/// Maximum number of workers that the filter may reject in one search unless it is exhaustive. A
/// filter that spreads a service over 20 places rejects 19 of 20 workers.
constexpr std::size_t max_rejections = 256;

std::uint64_t from_level(unsigned level) {
    return ~std::uint64_t{0} << level;
}

} // namespace

struct bucket_scorer::search {
    const worker_table& workers;
    const resources& demand;
    const worker_filter* filter;
    std::size_t probes;
    std::size_t rejections_left;
    std::size_t rotation;
    double cpu_scale;
    double memory_scale;
    std::optional<worker_index> found;
    double best = std::numeric_limits<double>::infinity();

    [[nodiscard]] fit make_fit(double cpu_milli, double memory_mb) const {
        return {static_cast<double>(demand.cpu_milli) * cpu_scale,
                static_cast<double>(demand.memory_mb) * memory_scale, cpu_milli * cpu_scale,
                memory_mb * memory_scale};
    }
};

void bucket_scorer::worker_changed(const worker_table& workers, worker_index worker) {
    m_index.update(workers, worker);
    const resources& capacity = workers[worker].info.capacity;
    if (!capacity.fits(m_largest)) {
        m_largest.cpu_milli = std::max(m_largest.cpu_milli, capacity.cpu_milli);
        m_largest.memory_mb = std::max(m_largest.memory_mb, capacity.memory_mb);
        m_largest.accelerators = std::max(m_largest.accelerators, capacity.accelerators);
    }
}

std::optional<worker_index> bucket_scorer::choose(const worker_table& workers,
                                                  const resources& demand,
                                                  const worker_filter* filter,
                                                  search_effort effort) {
    const auto scale = [](std::int64_t largest) {
        return 1.0 / static_cast<double>(std::max<std::int64_t>(largest, 1));
    };
    search s{workers,
             demand,
             filter,
             probes_per_cell,
             max_rejections,
             filter ? m_rotation++ : 0,
             scale(m_largest.cpu_milli),
             scale(m_largest.memory_mb),
             std::nullopt};
    // Planes are searched in ascending order of free accelerators, so that work takes the fewest
    // that suffice, and work that needs none prefers workers without any.
    const unsigned first = bucket_index::first_plane(demand.accelerators);
    for (unsigned plane = first; plane < bucket_index::plane_count && !s.found; ++plane) {
        search_plane(s, plane);
    }
    if (!s.found && effort == search_effort::exhaustive) {
        s.probes = std::numeric_limits<std::size_t>::max();
        s.rejections_left = std::numeric_limits<std::size_t>::max();
        for (unsigned plane = first; plane < bucket_index::plane_count && !s.found; ++plane) {
            search_plane(s, plane);
        }
    }
    return s.found;
}

void bucket_scorer::search_plane(search& s, unsigned plane) const {
    // A worker that can take the demand never has a lower level than the demand.
    const unsigned first_row = bucket_level(s.demand.cpu_milli / cpu_milli_per_unit);
    const unsigned first_column = bucket_level(s.demand.memory_mb / memory_mb_per_unit);
    std::uint64_t rows = m_index.rows(plane) & from_level(first_row);
    for (; rows != 0; rows &= rows - 1) {
        const auto row = static_cast<unsigned>(std::countr_zero(rows));
        std::uint64_t columns = m_index.columns(plane, row) & from_level(first_column);
        if (columns == 0) {
            continue;
        }
        const double cpu = bucket_middle(row) * cpu_milli_per_unit;
        for (; columns != 0; columns &= columns - 1) {
            const auto column = static_cast<unsigned>(std::countr_zero(columns));
            const double memory = bucket_middle(column) * memory_mb_per_unit;
            // Until a worker is found, every cell is searched regardless of its score.
            if (!s.found || m_score(s.make_fit(cpu, memory)) < s.best) {
                search_cell(s, m_index.cell(plane, row, column));
            }
        }
    }
}

void bucket_scorer::search_cell(search& s, const std::vector<worker_index>& cell) const {
    std::size_t probes = 0;
    for (std::size_t i = 0; i < cell.size() && probes < s.probes && s.rejections_left > 0; ++i) {
        // A rotating start position keeps filtered searches from visiting the same rejected workers
        // again.
        const worker_index worker = cell[(s.rotation + i) % cell.size()];
        const worker_entry& entry = s.workers[worker];
        if (s.filter && !s.filter->accepts(worker)) {
            --s.rejections_left;
            continue;
        }
        ++probes;
        if (!entry.can_take(s.demand)) {
            continue;
        }
        const resources free = entry.free();
        const double score = m_score(
            s.make_fit(static_cast<double>(free.cpu_milli), static_cast<double>(free.memory_mb)));
        if (score < s.best) {
            s.best = score;
            s.found = worker;
        }
    }
}

} // namespace buckthornspar::placement
