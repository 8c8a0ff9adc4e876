#pragma once

#include "core/placement/placement_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

/// Position of a worker in its worker_table; stable until the worker is erased.
using worker_index = std::uint32_t;

/// Indexes of the place and of the rack.
struct worker_location {
    std::uint32_t place = 0;
    std::uint32_t rack = 0;
};

struct worker_entry {
    worker_info info;
    resources allocated;
    /// Number of tasks included in `allocated`.
    std::uint32_t tasks = 0;
    /// False for a removed worker whose tasks are not released yet, and for an unused entry.
    bool present = false;
    worker_location location;

    [[nodiscard]] resources free() const { return info.capacity - allocated; }
    [[nodiscard]] bool usable() const { return present && info.state == worker_state::available; }
    [[nodiscard]] bool can_take(const resources& demand) const {
        return usable() && demand.fits(free());
    }
};

/// Numbers of racks and usable workers in a place.
struct place_summary {
    std::uint32_t racks = 0;
    std::uint32_t usable_workers = 0;
};

/// Number of present workers of equal capacity that are not leaving.
struct capacity_group {
    resources capacity;
    std::size_t workers = 0;
};

/// The workers of a shard with the resources allocated on each.
class worker_table {
public:
    /// Adds a worker or updates its information; allocations are kept.
    worker_index upsert(const worker_info& info);

    /// Removes the worker. Its entry is kept until its last allocation is released.
    void remove(worker_index worker);

    [[nodiscard]] std::optional<worker_index> find(const std::string& id) const;
    [[nodiscard]] const worker_entry& operator[](worker_index worker) const {
        return m_entries[worker];
    }

    /// Number of entries; some may be unused or not usable.
    [[nodiscard]] std::size_t size() const { return m_entries.size(); }

    /// Throws usage_error when the worker cannot take the demand.
    void allocate(worker_index worker, const resources& demand);

    /// Records work that was found running, even beyond the capacity.
    void allocate_existing(worker_index worker, const resources& demand);

    void deallocate(worker_index worker, const resources& demand);

    [[nodiscard]] std::size_t usable_count() const { return m_usable; }
    /// Total capacity of the usable workers.
    [[nodiscard]] const resources& usable_capacity() const { return m_usable_capacity; }
    /// Total unallocated capacity of the usable workers.
    [[nodiscard]] resources usable_free() const { return m_usable_capacity - m_usable_allocated; }
    /// Groups of workers of equal capacity. There are few, because machines come in few sizes.
    [[nodiscard]] const std::vector<capacity_group>& capacity_groups() const { return m_groups; }

    [[nodiscard]] const std::vector<place_summary>& places() const { return m_place_summaries; }

private:
    void update_totals(const worker_entry& entry, int sign);
    void change_allocated(worker_entry& entry, const resources& change);
    void assign_location(worker_entry& entry);
    void erase_when_unused(worker_index worker);

    std::vector<worker_entry> m_entries;
    std::vector<worker_index> m_unused;
    std::unordered_map<std::string, worker_index> m_index;
    std::unordered_map<std::string, std::uint32_t> m_places;
    std::unordered_map<std::string, std::uint32_t> m_racks;
    std::vector<place_summary> m_place_summaries;
    std::size_t m_usable = 0;
    resources m_usable_capacity;
    resources m_usable_allocated;
    std::vector<capacity_group> m_groups;
};

} // namespace buckthornspar::placement
