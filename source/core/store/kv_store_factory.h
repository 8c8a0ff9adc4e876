#pragma once

#include "core/common/clock.h"
#include "core/common/plugin_registry.h"
#include "core/net/endpoint.h"
#include "core/store/kv_store.h"

namespace buckthornspar::common {
class counters;
}
namespace buckthornspar::net {
class event_loop;
}

namespace buckthornspar::store {

/// Construction arguments of a key-value store adapter. The loop and the counters must outlive the
/// adapter.
struct kv_store_context {
    net::event_loop& loop;
    common::counters& counters;
    net::endpoint address;
    /// Response timeout; for a watch it is added to the wait.
    common::duration timeout = std::chrono::seconds(2);
};

/// Registry of key-value store adapters, keyed by their name in the settings, for example "http".
using kv_store_registry = common::plugin_registry<kv_store, const kv_store_context&>;
using kv_store_registration = common::plugin_registration<kv_store, const kv_store_context&>;

} // namespace buckthornspar::store
