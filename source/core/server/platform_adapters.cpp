#include "core/server/platform_adapters.h"

#include "core/membership/instance_list_factory.h"
#include "core/server/server_process.h"
#include "core/store/kv_store_factory.h"

namespace buckthornspar::server {

namespace {

constexpr common::duration platform_call_timeout = std::chrono::seconds(2);

} // namespace

std::unique_ptr<membership::instance_list> make_instance_list(server_process& process) {
    const auto& adapter = process.settings().instances;
    const membership::instance_list_context context{process.loop(), process.counters(),
                                                    adapter.address, platform_call_timeout};
    return membership::instance_list_registry::instance().make(adapter.adapter, context);
}

std::unique_ptr<store::kv_store> make_kv_store(server_process& process) {
    const auto& adapter = process.settings().store;
    const store::kv_store_context context{process.loop(), process.counters(), adapter.address,
                                          platform_call_timeout};
    return store::kv_store_registry::instance().make(adapter.adapter, context);
}

} // namespace buckthornspar::server
