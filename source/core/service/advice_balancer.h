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

    void add_node(const std::string& node);
    /// Removes a node and the calls that are outstanding on it.
    void remove_node(const std::string& node);
    [[nodiscard]] bool has_node(const std::string& node) const { return m_nodes.contains(node); }

    [[nodiscard]] std::size_t node_count() const { return m_nodes.size(); }

    void submit(dispatch::advice_call call);
    /// The call on this node has been answered.
    void complete(const std::string& node, std::uint64_t call, common::time_point now);
    /// The call on this node was not answered: removes the node until it is added again, and queues
    /// the call for another node.
    void fail(const std::string& node, dispatch::advice_call call);
    /// Takes the calls that can be sent now from the queue, the most urgent first.
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
        /// Moving average of the time that calls take beyond their expected duration, mostly
        /// network latency.
        common::duration overhead{0};
        [[nodiscard]] bool has_long_call() const;
    };

    [[nodiscard]] std::string best_node(const dispatch::advice_call& call,
                                        common::time_point now) const;

    std::map<std::string, node_state> m_nodes;
    std::vector<dispatch::advice_call> m_waiting;
};

} // namespace buckthornspar::service
