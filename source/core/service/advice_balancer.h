#pragma once

#include "core/common/clock.h"
#include "core/dispatch/dispatch_actions.h"

#include <map>
#include <string>
#include <vector>

namespace buckthornspar::service {

/// Spreads calls for tickets over the nodes, because the service handles one call at a time for
/// each calling node. Long calls keep away from some of the nodes, so that short ones do not wait
/// behind them. Pure.
class advice_balancer {
public:
    struct assignment {
        std::string node;
        dispatch::advice_call call;
    };

    void add_node(const std::string& node);
    /// The node is gone; its calls are forgotten.
    void remove_node(const std::string& node);
    [[nodiscard]] bool has_node(const std::string& node) const { return m_nodes.contains(node); }

    void submit(dispatch::advice_call call);
    /// The call on this node has its answer.
    void complete(const std::string& node, std::uint64_t call, common::time_point now);
    /// The call on this node had no answer: the lane is closed until the node is heard again, and
    /// the call waits for another one.
    void fail(const std::string& node, dispatch::advice_call call);
    /// Calls that can be sent now, the most urgent first.
    [[nodiscard]] std::vector<assignment> take(common::time_point now);
    void clear();

private:
    struct outstanding_call {
        common::duration expected{0};
        common::time_point due;
    };
    struct node_state {
        common::time_point busy_until;
        std::map<std::uint64_t, outstanding_call> calls;
        /// How much longer than expected calls take, mostly on the way; moving average.
        common::duration overhead{0};
        [[nodiscard]] bool has_long_call() const;
    };

    [[nodiscard]] std::string best_node(const dispatch::advice_call& call,
                                        common::time_point now) const;

    std::map<std::string, node_state> m_nodes;
    std::vector<dispatch::advice_call> m_waiting;
};

} // namespace buckthornspar::service
