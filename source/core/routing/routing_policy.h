#pragma once

#include "core/common/plugin_registry.h"
#include "core/common/rng.h"
#include "core/routing/routing_messages.h"
#include "core/routing/runner_table.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::routing {

/// Identity of the entry and the service that a policy serves.
struct policy_setup {
    std::string entry_id;
    std::string region;
    std::string service;
};

/// Input for choosing a runner for a request.
struct route_query {
    const runner_table& table;
    /// Runners that must not get this request.
    const std::vector<std::size_t>& excluded;
    /// Whether to choose among the runners of the entry's region or among those of other regions.
    bool local;
    time_point now;
    common::rng& random;
};

/// An entry from the instance list.
struct peer_entry {
    std::string id;
    std::string region;
};

/// State of the entry at a tick.
struct policy_tick {
    const runner_table& table;
    const std::vector<peer_entry>& entries;
    std::size_t waiting;
    time_point now;
};

/// Chooses a runner for each request of one service.
class routing_policy {
public:
    virtual ~routing_policy() = default;

    /// Empty when the request must wait in the entry's queue.
    [[nodiscard]] virtual std::optional<std::size_t> choose(const route_query& q) = 0;

    virtual void on_runner_added(std::size_t /*index*/) {}
    virtual void on_answer(const runner_table& /*table*/, std::size_t /*index*/,
                           duration /*service_time*/, bool /*failed*/) {}
    virtual void on_peer_message(const peer_message& /*message*/, const runner_table& /*table*/,
                                 time_point /*now*/) {}
    /// Called every policy_tick_period; appends messages to other entries to out.
    virtual void on_tick(const policy_tick& /*t*/, std::vector<peer_message>& /*out*/) {}

protected:
    routing_policy() = default;
    routing_policy(const routing_policy&) = default;
    routing_policy& operator=(const routing_policy&) = default;
};

inline constexpr duration policy_tick_period = std::chrono::milliseconds(50);

using policy_registry = common::plugin_registry<routing_policy, const policy_setup&>;
using policy_registration = common::plugin_registration<routing_policy, const policy_setup&>;

/// Usable runners in the regions that the query selects, without the excluded ones.
[[nodiscard]] std::vector<std::size_t> usable_runners(const route_query& q);

/// Candidate with the most free slots by free_estimate(), ties broken at random. Empty when none
/// has a free slot.
[[nodiscard]] std::optional<std::size_t> pick_most_free(const route_query& q,
                                                        const std::vector<std::size_t>& candidates);

} // namespace buckthornspar::routing
