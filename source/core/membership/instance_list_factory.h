#pragma once

#include "core/common/clock.h"
#include "core/common/plugin_registry.h"
#include "core/membership/instance_list.h"
#include "core/net/endpoint.h"

namespace buckthornspar::common {
class counters;
}
namespace buckthornspar::net {
class event_loop;
}

namespace buckthornspar::membership {

/// What an adapter of the instance list needs. The loop and the counters must outlive it.
struct instance_list_context {
    net::event_loop& loop;
    common::counters& counters;
    net::endpoint address;
    common::duration timeout = std::chrono::seconds(2);
};

/// Adapters of the instance list by the name in the settings, for example "http".
using instance_list_registry = common::plugin_registry<instance_list, const instance_list_context&>;
using instance_list_registration =
    common::plugin_registration<instance_list, const instance_list_context&>;

} // namespace buckthornspar::membership
