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

/// What an adapter of the key-value store needs. The loop and the counters must outlive it.
struct kv_store_context {
    net::event_loop& loop;
    common::counters& counters;
    net::endpoint address;
    /// Time for an answer; watches get it on top of their wait.
    common::duration timeout = std::chrono::seconds(2);
};

/// Adapters of the key-value store by the name in the settings, for example "http".
using kv_store_registry = common::plugin_registry<kv_store, const kv_store_context&>;
using kv_store_registration = common::plugin_registration<kv_store, const kv_store_context&>;

} // namespace buckthornspar::store
