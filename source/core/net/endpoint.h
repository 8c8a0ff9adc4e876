#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace buckthornspar::net {

/// IP address and TCP port of a process.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Parses "ADDRESS:PORT", for example "127.0.0.1:9000". Throws common::format_error when the port
/// is missing or out of range.
[[nodiscard]] endpoint parse_endpoint(std::string_view text);

[[nodiscard]] bool is_ip_address(const std::string& text);

[[nodiscard]] std::string to_string(const endpoint& e);

} // namespace buckthornspar::net
