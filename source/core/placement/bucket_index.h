#pragma once

#include "core/placement/worker_table.h"

#include <array>
#include <cstdint>
#include <vector>

namespace buckthornspar::placement {

/// Number of levels into which amounts are divided. A level spans a quarter of a power of two, so
/// that the relative resolution is the same for small and large amounts.
inline constexpr unsigned bucket_levels = 64;
/// Resolution of the smallest levels.
inline constexpr std::int64_t cpu_milli_per_unit = 100;
inline constexpr std::int64_t memory_mb_per_unit = 64;

[[nodiscard]] unsigned bucket_level(std::int64_t units);
/// Midpoint of the amounts of a level, in units.
[[nodiscard]] double bucket_middle(unsigned level);

/// Index of the usable workers. They are grouped by free processors and free memory into cells, in
/// one plane for workers without accelerators and one plane for each number of free accelerators.
class bucket_index {
public:
    /// Plane 0 holds workers without accelerators, plane 1 + n those with n free ones; the last
    /// plane also holds all larger n.
    static constexpr unsigned plane_count = 10;

    bucket_index();

    /// Moves the worker to the cell of its current free resources.
    void update(const worker_table& workers, worker_index worker);

    /// First plane whose workers may have at least this many free accelerators.
    [[nodiscard]] static unsigned first_plane(std::int64_t accelerators);

    /// Bit n is set when row n (a level of processors) has workers.
    [[nodiscard]] std::uint64_t rows(unsigned plane) const { return m_planes[plane].rows; }
    /// Bit n is set when column n (a level of memory) of the row has workers.
    [[nodiscard]] std::uint64_t columns(unsigned plane, unsigned row) const {
        return m_planes[plane].columns[row];
    }
    [[nodiscard]] const std::vector<worker_index>& cell(unsigned plane, unsigned row,
                                                        unsigned column) const {
        return m_planes[plane].cells[row * bucket_levels + column];
    }

private:
    struct plane_cells {
        std::uint64_t rows = 0;
        std::array<std::uint64_t, bucket_levels> columns{};
        std::vector<std::vector<worker_index>> cells;
    };
    struct position {
        bool placed = false;
        std::uint8_t plane = 0;
        std::uint8_t row = 0;
        std::uint8_t column = 0;
        std::uint32_t slot = 0;
    };

    void insert(worker_index worker, const position& at);
    void erase(worker_index worker);

    std::vector<plane_cells> m_planes;
    std::vector<position> m_positions;
};

} // namespace buckthornspar::placement
