#pragma once

#include <memory>

namespace buckthornspar::membership {
class instance_list;
}
namespace buckthornspar::store {
class kv_store;
}

namespace buckthornspar::server {

class server_process;

/// The adapter that the settings name. Throws common::unknown_name_error.
[[nodiscard]] std::unique_ptr<membership::instance_list>
make_instance_list(server_process& process);

[[nodiscard]] std::unique_ptr<store::kv_store> make_kv_store(server_process& process);

} // namespace buckthornspar::server
