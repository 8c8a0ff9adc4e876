#include "core/placement/bucket_index.h"

#include <algorithm>
#include <bit>

namespace buckthornspar::placement {

namespace {

// Two bits after the leading one: four levels for each power of two.
constexpr unsigned fraction_bits = 2;

constexpr double middle_of(unsigned level) {
    constexpr unsigned exact = 1U << fraction_bits;
    if (level < exact) {
        return level;
    }
    const unsigned shift = (level >> fraction_bits) - 1;
    const auto lowest = static_cast<double>(exact + (level & (exact - 1)));
    const auto width = static_cast<double>(std::uint64_t{1} << shift);
    return (lowest + 0.5) * width - 0.5;
}

constexpr std::array<double, bucket_levels> middles_of_levels() {
    std::array<double, bucket_levels> middles{};
    for (unsigned level = 0; level < bucket_levels; ++level) {
        middles[level] = middle_of(level);
    }
    return middles;
}

} // namespace

unsigned bucket_level(std::int64_t units) {
    constexpr std::uint64_t exact = 1U << fraction_bits;
    const auto amount = static_cast<std::uint64_t>(std::max<std::int64_t>(units, 0));
    if (amount < exact) {
        return static_cast<unsigned>(amount);
    }
    const auto shift = static_cast<unsigned>(std::bit_width(amount)) - 1 - fraction_bits;
    const auto level = (shift << fraction_bits) + static_cast<unsigned>(amount >> shift);
    return std::min(level, bucket_levels - 1);
}

double bucket_middle(unsigned level) {
    // Precomputed, because a search reads the midpoint of each row and cell that it visits.
    static constexpr auto middles = middles_of_levels();
    return middles[level];
}

bucket_index::bucket_index() : m_planes(plane_count) {
    for (plane_cells& p : m_planes) {
        p.cells.resize(std::size_t{bucket_levels} * bucket_levels);
    }
}

unsigned bucket_index::first_plane(std::int64_t accelerators) {
    if (accelerators <= 0) {
        return 0;
    }
    return static_cast<unsigned>(std::min<std::int64_t>(accelerators + 1, plane_count - 1));
}

void bucket_index::update(const worker_table& workers, worker_index worker) {
    if (worker >= m_positions.size()) {
        m_positions.resize(worker + 1);
    }
    const worker_entry& entry = workers[worker];
    position target;
    const resources free = entry.free();
    if (entry.usable() && free.non_negative()) {
        target.placed = true;
        target.plane = static_cast<std::uint8_t>(
            entry.info.capacity.accelerators == 0
                ? 0
                : std::min<std::int64_t>(free.accelerators + 1, plane_count - 1));
        target.row = static_cast<std::uint8_t>(bucket_level(free.cpu_milli / cpu_milli_per_unit));
        target.column =
            static_cast<std::uint8_t>(bucket_level(free.memory_mb / memory_mb_per_unit));
    }
    const position& now = m_positions[worker];
    if (now.placed == target.placed && now.plane == target.plane && now.row == target.row &&
        now.column == target.column) {
        return;
    }
    erase(worker);
    if (target.placed) {
        insert(worker, target);
    }
}

void bucket_index::insert(worker_index worker, const position& at) {
    plane_cells& p = m_planes[at.plane];
    auto& cell = p.cells[at.row * bucket_levels + at.column];
    m_positions[worker] = at;
    m_positions[worker].slot = static_cast<std::uint32_t>(cell.size());
    cell.push_back(worker);
    p.rows |= std::uint64_t{1} << at.row;
    p.columns[at.row] |= std::uint64_t{1} << at.column;
}

void bucket_index::erase(worker_index worker) {
    position& at = m_positions[worker];
    if (!at.placed) {
        return;
    }
    plane_cells& p = m_planes[at.plane];
    auto& cell = p.cells[at.row * bucket_levels + at.column];
    cell[at.slot] = cell.back();
    m_positions[cell[at.slot]].slot = at.slot;
    cell.pop_back();
    at.placed = false;
    if (!cell.empty()) {
        return;
    }
    p.columns[at.row] &= ~(std::uint64_t{1} << at.column);
    if (p.columns[at.row] == 0) {
        p.rows &= ~(std::uint64_t{1} << at.row);
    }
}

} // namespace buckthornspar::placement
