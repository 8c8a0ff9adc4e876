#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace buckthornspar::net {

/// Reads one HTTP message into the parser and calls complete(error_code). The stream, the buffer
/// and the parser must outlive the call.
///
/// Beast reads only as much as the buffer has capacity, 512 bytes by default, and each part is one
/// more pass through the event loop. Behind a busy loop a large message would therefore take as
/// many passes as it has parts; the buffer is sized by the announced length instead.
template <typename Stream, typename Parser, typename Complete>
void async_read_message(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
                        Complete complete) {
    namespace http = boost::beast::http;
    // Holds the header and the body of most messages.
    static constexpr std::size_t first_read_bytes = 2048;
    static constexpr std::uint64_t max_read_bytes = std::uint64_t{64} << 10U;
    buffer.reserve(first_read_bytes);
    parser.eager(true);
    http::async_read_header(
        stream, buffer, parser,
        [&stream, &buffer, &parser, complete = std::move(complete)](
            boost::beast::error_code failure, std::size_t /*bytes*/) mutable {
            if (failure || parser.is_done()) {
                complete(failure);
                return;
            }
            const auto announced = parser.get()[http::field::content_length];
            std::uint64_t length = 0;
            std::from_chars(announced.data(), announced.data() + announced.size(), length);
            buffer.reserve(static_cast<std::size_t>(std::min(length, max_read_bytes)));
            http::async_read(stream, buffer, parser,
                             [complete = std::move(complete)](boost::beast::error_code read_failure,
                                                              std::size_t /*bytes*/) mutable {
                                 complete(read_failure);
                             });
        });
}

} // namespace buckthornspar::net
