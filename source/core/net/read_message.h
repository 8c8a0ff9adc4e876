#pragma once

#include "core/net/request_progress.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace buckthornspar::net {

/// Reads one HTTP message into the parser part by part; see async_read_message.
template <typename Stream, typename Parser, typename Progress, typename Complete>
class read_message_op {
public:
    read_message_op(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
                    Progress progress, Complete complete)
        : m_stream(stream),
          m_buffer(buffer),
          m_parser(parser),
          m_progress(std::move(progress)),
          m_complete(std::move(complete)) {}

    void start() {
        // Holds the header and the body of most messages.
        static constexpr std::size_t first_read_bytes = 2048;
        m_buffer.reserve(first_read_bytes);
        m_parser.eager(true);
        if (m_buffer.size() == 0) {
            read();
            return;
        }
        const auto executor = m_stream.get_executor();
        boost::asio::post(executor, [op = std::move(*this)]() mutable { op.parse(); });
    }

    void operator()(boost::beast::error_code failure, std::size_t size) {
        m_buffer.commit(size);
        if (failure == boost::asio::error::eof) {
            on_end_of_stream();
            return;
        }
        if (failure) {
            m_complete(failure);
            return;
        }
        parse();
    }

    using executor_type = typename Stream::executor_type;
    [[nodiscard]] executor_type get_executor() const { return m_stream.get_executor(); }

private:
    void parse() {
        namespace http = boost::beast::http;
        const bool had_header = m_parser.is_header_done();
        boost::beast::error_code failure;
        const auto used = m_parser.put(m_buffer.data(), failure);
        m_buffer.consume(used);
        m_parsed_bytes += used;
        if (failure && failure != http::error::need_more) {
            m_complete(failure);
            return;
        }
        if (m_parser.is_done()) {
            m_complete(boost::beast::error_code());
            return;
        }
        failure = m_progress(arrived_part{m_parser.is_header_done(),
                                          m_parsed_bytes + m_buffer.size(), m_buffer.size()});
        if (failure) {
            m_complete(failure);
            return;
        }
        if (!had_header && m_parser.is_header_done()) {
            reserve_announced();
        }
        read();
    }

    // A read takes as much as the buffer has room for, and each is one more pass through the event
    // loop. Behind a busy loop a large message would therefore take as many passes as it has parts;
    // the buffer is sized by the announced length instead.
    void reserve_announced() {
        static constexpr std::uint64_t max_read_bytes = std::uint64_t{64} << 10U;
        const auto announced = m_parser.get()[boost::beast::http::field::content_length];
        std::uint64_t length = 0;
        std::from_chars(announced.data(), announced.data() + announced.size(), length);
        m_buffer.reserve(static_cast<std::size_t>(std::min(length, max_read_bytes)));
    }

    void read() {
        static constexpr std::size_t min_read_bytes = 512;
        static constexpr std::size_t max_read_bytes = std::size_t{64} << 10U;
        const auto room = m_buffer.capacity() - m_buffer.size();
        const auto size = std::clamp(room, min_read_bytes, max_read_bytes);
        if (size > m_buffer.max_size() - m_buffer.size()) {
            m_complete(
                boost::beast::http::make_error_code(boost::beast::http::error::buffer_overflow));
            return;
        }
        const auto target = m_buffer.prepare(size);
        auto& stream = m_stream;
        stream.async_read_some(target, std::move(*this));
    }

    void on_end_of_stream() {
        namespace http = boost::beast::http;
        if (!m_parser.got_some()) {
            m_complete(http::make_error_code(http::error::end_of_stream));
            return;
        }
        boost::beast::error_code failure;
        m_parser.put_eof(failure);
        m_complete(failure);
    }

    Stream& m_stream;
    boost::beast::flat_buffer& m_buffer;
    Parser& m_parser;
    Progress m_progress;
    Complete m_complete;
    std::size_t m_parsed_bytes = 0;
};

/// Reads one HTTP message into the parser and calls complete(error_code). After each part that
/// leaves the message unfinished it calls progress(arrived_part), and goes on unless that returns
/// an error. The stream, the buffer and the parser must outlive the call.
template <typename Stream, typename Parser, typename Progress, typename Complete>
void async_read_message(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
                        Progress progress, Complete complete) {
    read_message_op<Stream, Parser, Progress, Complete>(stream, buffer, parser, std::move(progress),
                                                        std::move(complete))
        .start();
}

} // namespace buckthornspar::net
