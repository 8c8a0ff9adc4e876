#pragma once

#include "core/common/clock.h"
#include "core/common/name_table.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace buckthornspar::service {

/// What a node has for the work of an owner.
struct node_capability {
    /// Processor time in cores.
    double cpu_share = 1.0;
    /// Network link in megabits per second.
    double link_mbps = 0.0;
    /// Memory in bytes; 0 when unknown.
    std::int64_t memory = 0;
    /// File descriptors; 0 when unknown.
    std::int64_t max_fds = 0;

    bool operator==(const node_capability&) const = default;
};

/// What the needs of an owner grow with.
struct fleet_size {
    std::size_t workers = 0;
    std::size_t jobs = 0;

    bool operator==(const fleet_size&) const = default;
};

/// Assumed by a node that no owner has told the size of the fleet.
inline constexpr fleet_size assumed_fleet{350, 1000};

/// The work of owning a fleet, in the units of node_capability.
struct owner_need {
    double cpu_share = 0.0;
    double link_mbps = 0.0;
    double memory = 0.0;
    double fds = 0.0;
};

[[nodiscard]] owner_need need_of_owner(const fleet_size& fleet);

enum class node_resource { none, processor, link, memory, descriptors };
inline constexpr common::name_table<node_resource, 5> node_resource_names{
    "node resource", {"none", "processor", "link", "memory", "descriptors"}};

struct node_suitability {
    /// 1 when the node can carry the fleet. Otherwise the product of the shares of each need that
    /// it can cover.
    double value = 1.0;
    /// The resource that covers the smallest share of its need; none when all are covered.
    node_resource shortest = node_resource::none;
};

[[nodiscard]] node_suitability suitability_of(const node_capability& node, const fleet_size& fleet);

/// Delay of a node's claim of the ownership: 0 when it can carry the fleet, and the longer the less
/// of the fleet it can carry. A node without a known link speed goes by its processor alone.
[[nodiscard]] common::duration claim_delay_of(const node_capability& node, const fleet_size& fleet);

/// Time in which half of the link carries a full page of the store (1 MB); 0 when the speed is
/// unknown.
[[nodiscard]] common::duration store_page_time(double link_mbps);

/// A live node as the owner knows it.
struct ownership_candidate {
    std::string node;
    /// Empty when the node has not told it, for example one of an earlier version.
    std::optional<node_capability> capability;
    /// The node has a configuration, reaches the store and is not stopping.
    bool may_claim = false;
};

} // namespace buckthornspar::service
