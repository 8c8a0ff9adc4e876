#pragma once

#include "core/common/clock.h"
#include "core/net/request_settings.h"

#include <cstddef>
#include <optional>

namespace buckthornspar::service {

/// Limits of the operators' configuration for the requests of callers, as far as they are given.
struct caller_limits {
    std::optional<std::size_t> max_body_bytes;
    std::optional<std::size_t> max_header_bytes;
    std::optional<common::duration> header_timeout;
    std::optional<common::duration> idle_timeout;
};

/// The limits in force: those of the configuration go before the settings, within what the memory
/// for messages allows.
[[nodiscard]] net::request_settings limits_in_force(const net::request_settings& settings,
                                                    const caller_limits& given);

} // namespace buckthornspar::service
