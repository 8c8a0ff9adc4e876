#include "core/service/caller_limits.h"

#include <algorithm>
#include <chrono>

namespace buckthornspar::service {

namespace {

constexpr std::size_t min_header_bytes = 1024;
constexpr std::size_t max_header_bytes = std::size_t{64} << 10U;
// A body is charged with the capacity of its buffer, which doubles as it grows.
constexpr std::size_t memory_per_body = 3;

} // namespace

net::request_settings limits_in_force(const net::request_settings& settings,
                                      const caller_limits& given) {
    auto result = settings;
    if (given.max_body_bytes) {
        result.limits.max_body_bytes =
            std::min(*given.max_body_bytes,
                     std::max(settings.limits.max_body_bytes,
                              net::message_memory(settings.resources) / memory_per_body));
    }
    if (given.max_header_bytes) {
        result.limits.max_header_bytes =
            std::clamp(*given.max_header_bytes, min_header_bytes, max_header_bytes);
    }
    if (given.header_timeout) {
        result.limits.header_timeout =
            std::chrono::duration_cast<std::chrono::milliseconds>(*given.header_timeout);
    }
    result.idle_timeout = given.idle_timeout.value_or(settings.idle_timeout);
    return result;
}

} // namespace buckthornspar::service
