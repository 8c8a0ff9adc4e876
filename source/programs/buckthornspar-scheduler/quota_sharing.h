#pragma once

#include "core/scheduling/quota_exchange.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthornspar::common {
class counters;
}
namespace buckthornspar::scheduling {
class shard_engine;
}

namespace buckthornspar::scheduler {

/// Transport of quota messages. shards lists all shards of the system.
struct quota_transport {
    std::vector<std::string> shards;
    std::function<void(const std::vector<scheduling::outgoing_quota_message>&)> send;
};

/// Connects the quota exchange with the engines of the owned shards. Used by the decision thread
/// only. Does nothing if the system has a single shard.
class quota_sharing {
public:
    using engine_map = std::map<std::string, scheduling::shard_engine*>;

    quota_sharing(quota_transport transport, common::counters& counters);

    void set_quotas(const std::map<std::string, placement::resources>& quotas);
    void on_message(common::time_point now, const scheduling::quota_message& message);

    /// Applies changed limits to the engines and then sends the messages.
    void on_time(common::time_point now, const engine_map& engines);

private:
    void update_shard(common::time_point now, const std::string& name,
                      scheduling::shard_engine& engine);

    quota_transport m_transport;
    scheduling::quota_exchange m_exchange;
    common::time_point m_next_exchange{};
    bool m_enabled;
};

} // namespace buckthornspar::scheduler
