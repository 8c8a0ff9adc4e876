#include "core/net/request_settings.h"

#include "core/common/settings.h"

#include <chrono>

namespace buckthornspar::net {

namespace {

constexpr std::int64_t hour_ms = std::int64_t{3600} * 1000;
constexpr std::int64_t max_memory_mb = std::int64_t{1} << 24U;
constexpr std::int64_t max_descriptors = std::int64_t{1} << 24U;

std::chrono::milliseconds read_ms(common::settings_section& settings, const char* key,
                                  std::int64_t fallback) {
    return std::chrono::milliseconds(settings.number(key, {100, hour_ms, "ms"}, fallback));
}

std::size_t read_bytes(common::settings_section& settings, const char* key,
                       common::number_range range, std::int64_t fallback) {
    return static_cast<std::size_t>(settings.number(key, range, fallback));
}

} // namespace

request_settings read_request_settings(common::settings_section& settings,
                                       std::int64_t default_body_bytes) {
    request_settings result;
    auto& limits = result.limits;
    limits.max_body_bytes =
        read_bytes(settings, "max_body_bytes", {1024, 64 << 20, "bytes"}, default_body_bytes);
    limits.max_header_bytes =
        read_bytes(settings, "max_header_bytes", {1024, 64 << 10, "bytes"}, 8 << 10);
    limits.header_timeout = read_ms(settings, "header_timeout_ms", 20'000);
    limits.request_timeout = read_ms(settings, "request_timeout_ms", 60'000);
    limits.min_bytes_per_s =
        read_bytes(settings, "min_request_bytes_per_s", {0, 1 << 20, "bytes/s"}, 100);
    result.idle_timeout = read_ms(settings, "idle_timeout_ms", 60'000);
    auto& resources = result.resources;
    resources.memory = settings.number("memory_mb", {0, max_memory_mb, "MB"}, 0) << 20U;
    resources.message_memory_share = settings.real("message_memory_share", 0.01, 0.5, 0.125);
    resources.max_fds = settings.number("max_fds", {0, max_descriptors, "descriptors"}, 0);
    resources.max_connections =
        settings.number("max_connections", {0, max_descriptors, "connections"}, 0);
    resources.max_body_bytes = limits.max_body_bytes;
    return result;
}

} // namespace buckthornspar::net
