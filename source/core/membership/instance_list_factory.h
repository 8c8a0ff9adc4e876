#pragma once

#include "core/common/counters.h"
#include "core/common/plugin_registry.h"
#include "core/membership/instance_list.h"
#include "core/net/event_loop.h"

namespace buckthornspar::membership {

/// Construction arguments of an instance list adapter. The loop and the counters must outlive the
/// adapter.
struct instance_list_context {
    net::event_loop& loop;
    common::counters& counters;
    net::endpoint address;
    common::duration timeout;
};

using instance_list_registry = common::plugin_registry<instance_list, const instance_list_context&>;
using instance_list_registration =
    common::plugin_registration<instance_list, const instance_list_context&>;

} // namespace buckthornspar::membership
