#pragma once

#include "core/common/clock.h"
#include "core/dispatch/dispatch_actions.h"

#include <map>
#include <string>
#include <vector>

namespace buckthornspar::service {

/// Distributes ticket requests over the nodes, because the advice service handles one call at a
/// time for each calling node. Some of the nodes are reserved for short calls, so that these do not
/// wait behind long ones. Performs no I/O and reads no clock.
class advice_balancer {
public:
    struct assignment {
        std::string node;
        dispatch::advice_call call;
    };

    /// Adds the node, or notes a sign of life of one whose last call was not answered.
    void add_node(const std::string& node);
    /// Removes a node and the calls that are outstanding on it.
    void remove_node(const std::string& node);
    [[nodiscard]] bool has_node(const std::string& node) const { return m_nodes.contains(node); }

    [[nodiscard]] std::size_t node_count() const { return m_nodes.size(); }

    void submit(dispatch::advice_call call);
    /// The call on this node has been answered.
    void complete(const std::string& node, std::uint64_t call, common::time_point now);
    /// The call on this node was not answered: the node gets no calls for a time that grows with
    /// its failures in a row, nor before it is added again. Returns whether the call was queued
    /// because another node can take it.
    bool fail(const std::string& node, dispatch::advice_call call, common::time_point now);
    /// Calls that could be sent now besides those that are queued.
    [[nodiscard]] dispatch::advice_slots free_slots(common::time_point now) const;
    /// Takes the calls that can be sent now from the queue, those for entitled work and then the
    /// most urgent first.
    [[nodiscard]] std::vector<assignment> take_ready(common::time_point now);
    void clear();

private:
    struct outstanding_call {
        common::duration expected{0};
        common::time_point due;
    };
    struct node_state {
        common::time_point busy_until;
        std::map<std::uint64_t, outstanding_call> calls;
        /// Calls in a row that were not answered, and until when the node gets no further ones.
        unsigned failures = 0;
        common::time_point suspended_until;
        bool awaits_sign = false;
        /// Moving average of the time that calls take beyond their expected duration, mostly
        /// network latency.
        common::duration overhead{0};
        [[nodiscard]] bool has_long_call() const;
        [[nodiscard]] bool may_call(common::time_point now) const;
    };

    /// Number of nodes that take no long calls: the first of those without failures.
    [[nodiscard]] std::size_t short_only_count() const;
    [[nodiscard]] std::string best_node(const dispatch::advice_call& call,
                                        common::time_point now) const;

    std::map<std::string, node_state> m_nodes;
    std::vector<dispatch::advice_call> m_waiting;
};

} // namespace buckthornspar::service
