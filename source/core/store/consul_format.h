#pragma once

#include "core/net/http_message.h"
#include "core/store/kv_store.h"

#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::store {

/// Converts a store request to an HTTP request of the Consul KV API.
[[nodiscard]] net::http_request to_consul_request(const kv_request& request);

/// Parses the JSON array in the response to a GET. Throws common::format_error.
[[nodiscard]] std::vector<kv_entry> read_consul_entries(std::string_view body);

/// Throws common::format_error for malformed input.
[[nodiscard]] std::string decode_base64(std::string_view text);

} // namespace buckthornspar::store
