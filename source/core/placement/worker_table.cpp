#include "core/placement/worker_table.h"

#include <algorithm>

namespace buckthornspar::placement {

worker_index worker_table::upsert(const worker_info& info) {
    const auto known = find(info.id);
    worker_index worker = 0;
    if (known) {
        worker = *known;
        update_totals(m_entries[worker], -1);
    } else if (!m_unused.empty()) {
        worker = m_unused.back();
        m_unused.pop_back();
    } else {
        worker = static_cast<worker_index>(m_entries.size());
        m_entries.emplace_back();
    }
    m_index[info.id] = worker;
    worker_entry& entry = m_entries[worker];
    entry.info = info;
    entry.present = true;
    assign_location(entry);
    update_totals(entry, 1);
    return worker;
}

void worker_table::remove(worker_index worker) {
    worker_entry& entry = m_entries[worker];
    update_totals(entry, -1);
    entry.present = false;
    erase_when_unused(worker);
}

std::optional<worker_index> worker_table::find(const std::string& id) const {
    const auto position = m_index.find(id);
    if (position == m_index.end()) {
        return std::nullopt;
    }
    return position->second;
}

void worker_table::allocate(worker_index worker, const resources& demand) {
    if (!m_entries[worker].can_take(demand)) {
        throw common::usage_error("worker " + m_entries[worker].info.id +
                                  " is not usable or lacks free resources for the demand");
    }
    allocate_existing(worker, demand);
}

void worker_table::allocate_existing(worker_index worker, const resources& demand) {
    change_allocated(m_entries[worker], demand);
    ++m_entries[worker].tasks;
}

void worker_table::deallocate(worker_index worker, const resources& demand) {
    change_allocated(m_entries[worker], resources{} - demand);
    --m_entries[worker].tasks;
    erase_when_unused(worker);
}

void worker_table::change_allocated(worker_entry& entry, const resources& change) {
    entry.allocated += change;
    if (entry.usable()) {
        m_usable_allocated += change;
    }
}

void worker_table::update_totals(const worker_entry& entry, int sign) {
    if (!entry.present) {
        return;
    }
    const auto change = static_cast<std::size_t>(sign);
    if (entry.usable()) {
        m_usable += change;
        m_place_summaries[entry.location.place].usable_workers += static_cast<std::uint32_t>(sign);
        m_usable_capacity = sign > 0 ? m_usable_capacity + entry.info.capacity
                                     : m_usable_capacity - entry.info.capacity;
        m_usable_allocated =
            sign > 0 ? m_usable_allocated + entry.allocated : m_usable_allocated - entry.allocated;
    }
    if (entry.info.state == worker_state::leaving) {
        return;
    }
    auto group = std::find_if(m_groups.begin(), m_groups.end(), [&](const capacity_group& g) {
        return g.capacity == entry.info.capacity;
    });
    if (group == m_groups.end()) {
        group = m_groups.insert(m_groups.end(), {entry.info.capacity, 0});
    }
    group->workers += change;
    if (group->workers == 0) {
        m_groups.erase(group);
    }
}

void worker_table::assign_location(worker_entry& entry) {
    // Names in the platform's list cannot contain the separator.
    const std::string place = entry.info.region + "\n" + entry.info.place;
    const auto [place_position, new_place] =
        m_places.emplace(place, static_cast<std::uint32_t>(m_places.size()));
    if (new_place) {
        m_place_summaries.emplace_back();
    }
    entry.location.place = place_position->second;
    const auto [rack_position, new_rack] =
        m_racks.emplace(place + "\n" + entry.info.rack, static_cast<std::uint32_t>(m_racks.size()));
    entry.location.rack = rack_position->second;
    if (new_rack) {
        ++m_place_summaries[entry.location.place].racks;
    }
}

void worker_table::erase_when_unused(worker_index worker) {
    worker_entry& entry = m_entries[worker];
    if (entry.present || entry.tasks != 0) {
        return;
    }
    m_index.erase(entry.info.id);
    entry = worker_entry{};
    m_unused.push_back(worker);
}

} // namespace buckthornspar::placement
