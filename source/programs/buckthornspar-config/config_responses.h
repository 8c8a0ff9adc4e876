#pragma once

#include "core/config/config_service.h"
#include "core/net/http_message.h"

#include <cstddef>
#include <cstdint>

namespace buckthornspar::config_server {

// HTTP responses of the config process.

/// 201 for an accepted patch, 200 for a valid dry run, otherwise a typed error. For an unknown
/// outcome, the response has the header "X-Outcome: unknown".
[[nodiscard]] net::http_response patch_response(const config::patch_result& result);

/// The most recent versions lower than before, newest first.
[[nodiscard]] net::http_response versions_response(const config::config_history& history,
                                                   std::uint64_t before, std::size_t limit);

/// A version with its patch, its difference to the previous version and its complete document.
[[nodiscard]] net::http_response version_response(const config::config_history& history,
                                                  std::uint64_t version);

[[nodiscard]] net::http_response in_force_response(std::uint64_t version,
                                                   const config::configuration& in_force);

} // namespace buckthornspar::config_server
