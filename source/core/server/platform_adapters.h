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

/// Creates the instance list adapter named in the settings. Throws common::unknown_name_error.
[[nodiscard]] std::unique_ptr<membership::instance_list>
make_instance_list(server_process& process);

/// Creates the store adapter named in the settings. Throws common::unknown_name_error.
[[nodiscard]] std::unique_ptr<store::kv_store> make_kv_store(server_process& process);

} // namespace buckthornspar::server
