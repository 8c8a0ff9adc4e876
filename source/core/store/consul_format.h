#pragma once

#include "core/net/http_message.h"
#include "core/store/kv_store.h"

#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::store {

/// The HTTP request of the Consul KV API for a store request.
[[nodiscard]] net::http_request to_consul_request(const kv_request& request);

/// Reads the JSON array of a GET. Throws common::format_error.
[[nodiscard]] std::vector<kv_entry> read_consul_entries(std::string_view body);

/// Throws common::format_error.
[[nodiscard]] std::string decode_base64(std::string_view text);

} // namespace buckthornspar::store
