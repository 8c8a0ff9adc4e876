#include "core/net/endpoint.h"

#include "core/common/error.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace buckthornspar::net {

endpoint parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        throw common::format_error("endpoint '" + std::string(text) +
                                   "' is not of the form ADDRESS:PORT");
    }
    endpoint e;
    e.address = std::string(text.substr(0, colon));
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, e.port);
    if (result.ec != std::errc{} || result.ptr != end) {
        throw common::format_error("endpoint '" + std::string(text) + "' has no valid port");
    }
    return e;
}

bool is_ip_address(const std::string& text) {
    boost::system::error_code failure;
    boost::asio::ip::make_address(text, failure);
    return !failure;
}

std::string to_string(const endpoint& e) {
    return e.address + ":" + std::to_string(e.port);
}

} // namespace buckthornspar::net
