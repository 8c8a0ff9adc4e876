#include "core/net/http_server.h"

#include "core/common/logging.h"
#include "core/net/event_loop.h"
#include "core/net/net_error.h"
#include "core/net/read_message.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <optional>
#include <unordered_set>
#include <utility>

namespace buckthornspar::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

// After the start of a stop, requests are still answered for this long, with "Connection: close".
// Otherwise, a client that has just sent a request would lose it.
constexpr auto late_request_window = std::chrono::milliseconds(300);

class session;

} // namespace

// Counts as one request in progress for as long as a copy exists.
using in_progress_guard = std::shared_ptr<void>;

struct http_server::state : std::enable_shared_from_this<state> {
    state(event_loop& l, http_server_limits lim, http_handler& h)
        : context(l.context()),
          limits(lim),
          handler(h),
          acceptor(l.context()),
          late_request_timer(l.context()) {}

    void accept();
    void begin_stop(in_progress_guard guard);
    void finish_stop();
    [[nodiscard]] in_progress_guard make_in_progress_guard();

    asio::io_context& context;
    http_server_limits limits;
    http_handler& handler;
    tcp::acceptor acceptor;
    asio::steady_timer late_request_timer;
    std::unordered_set<session*> sessions;
    std::atomic<std::size_t> in_progress{0};
    // Cleared by the server's destructor; the handler must not be called afterwards.
    std::atomic<bool> open{true};
    bool stopping = false;
    bool late_request_window_over = false;
    std::uint16_t port = 0;
};

namespace {

std::optional<http_method> to_method(http::verb verb) {
    switch (verb) {
    case http::verb::get:
        return http_method::get;
    case http::verb::post:
        return http_method::post;
    case http::verb::put:
        return http_method::put;
    case http::verb::delete_:
        return http_method::del;
    default:
        return std::nullopt;
    }
}

constexpr auto discard_timeout = std::chrono::seconds(1);
constexpr std::size_t discard_read_bytes = std::size_t{64} << 10U;
constexpr std::size_t max_discarded_bytes = std::size_t{64} << 20U;

class session : public std::enable_shared_from_this<session> {
public:
    session(tcp::socket socket, std::shared_ptr<http_server::state> server)
        : m_stream(std::move(socket)), m_server(std::move(server)) {
        m_server->sessions.insert(this);
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    ~session() { m_server->sessions.erase(this); }

    void read() {
        m_parser.emplace();
        m_parser->body_limit(m_server->limits.max_body_bytes);
        m_stream.expires_after(m_server->limits.idle_timeout);
        m_reading = true;
        async_read_message(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](beast::error_code failure) { self->on_read(failure); });
    }

    // A request that has been received in part is read to its end.
    void close_if_idle() {
        if (!m_reading) {
            return;
        }
        if (m_parser->got_some()) {
            m_partial_request_guard = m_server->make_in_progress_guard();
            return;
        }
        m_stream.cancel();
    }

private:
    void on_read(beast::error_code failure) {
        m_reading = false;
        if (failure) {
            on_read_failure(failure);
            return;
        }
        auto message = m_parser->release();
        m_keep_alive = message.keep_alive();
        const auto method = to_method(message.method());
        if (!method) {
            write(error_response(405, "method_not_allowed", "use GET, POST, PUT or DELETE"));
            return;
        }
        http_request request;
        request.method = *method;
        request.target = std::string(message.target());
        for (const auto& field : message) {
            request.fields.set(field.name_string(), field.value());
        }
        request.body = std::move(message.body());
        dispatch(std::move(request));
    }

    void on_read_failure(beast::error_code failure) {
        m_keep_alive = false;
        if (failure == http::error::body_limit) {
            write(error_response(413, "body_too_large",
                                 "the request body is larger than " +
                                     std::to_string(m_server->limits.max_body_bytes) + " bytes"));
            return;
        }
        const bool malformed =
            failure.category() == make_error_code(http::error::bad_method).category();
        if (malformed && failure != http::error::end_of_stream &&
            failure != http::error::partial_message) {
            write(error_response(400, "malformed_http", failure.message()));
            return;
        }
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    }

    void dispatch(http_request request) {
        if (!m_server->open) {
            return;
        }
        m_stream.expires_never();
        auto reply_called = std::make_shared<std::atomic<bool>>(false);
        // The guard is kept until the response has been written.
        auto reply = [self = shared_from_this(), reply_called,
                      guard = m_server->make_in_progress_guard()](http_response response) {
            if (reply_called->exchange(true)) {
                return;
            }
            // On the loop's thread the response is written at once, and not behind all that is
            // ready.
            asio::dispatch(self->m_server->context,
                           [self, guard, response = std::move(response)]() mutable {
                               self->write(std::move(response), std::move(guard));
                           });
        };
        m_partial_request_guard.reset();
        try {
            m_server->handler.handle(std::move(request), reply);
        } catch (const std::exception& e) {
            common::log_event(common::severity::error, "request_failed", {{"reason", e.what()}});
            reply(error_response(500, "internal_error", "the request could not be processed"));
        }
    }

    void write(http_response response, in_progress_guard guard = {}) {
        m_message = {};
        m_message.version(11);
        m_message.result(response.status);
        for (const auto& [name, value] : response.fields.all()) {
            m_message.set(name, value);
        }
        m_keep_alive = m_keep_alive && !m_server->stopping;
        m_message.keep_alive(m_keep_alive);
        m_message.body() = std::move(response.body);
        m_message.prepare_payload();
        m_stream.expires_after(m_server->limits.idle_timeout);
        http::async_write(m_stream, m_message,
                          [self = shared_from_this(),
                           guard = std::move(guard)](beast::error_code failure, std::size_t) {
                              self->on_written(failure);
                          });
    }

    void on_written(beast::error_code failure) {
        if (failure) {
            return;
        }
        if (!m_keep_alive || m_server->late_request_window_over) {
            beast::error_code ignored;
            m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            m_discarded = 0;
            discard();
            return;
        }
        read();
    }

    // Reads and discards remaining data from the client. Closing a socket with unread data resets
    // the connection, and the client would lose the response, for example the 413 for an oversized
    // body.
    void discard() {
        m_buffer.clear();
        m_stream.expires_after(discard_timeout);
        m_stream.async_read_some(
            m_buffer.prepare(discard_read_bytes),
            [self = shared_from_this()](beast::error_code failure, std::size_t size) {
                self->m_discarded += size;
                if (!failure && self->m_discarded < max_discarded_bytes) {
                    self->discard();
                }
            });
    }

    beast::tcp_stream m_stream;
    std::shared_ptr<http_server::state> m_server;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_message;
    std::size_t m_discarded = 0;
    bool m_keep_alive = true;
    bool m_reading = false;
    // Set when a stop finds a partly received request, until that request is dispatched.
    in_progress_guard m_partial_request_guard;
};

} // namespace

void http_server::state::accept() {
    acceptor.async_accept(
        [self = shared_from_this()](beast::error_code failure, tcp::socket socket) {
            if (failure == asio::error::operation_aborted) {
                return;
            }
            if (!failure && self->sessions.size() < self->limits.max_connections) {
                beast::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                std::make_shared<session>(std::move(socket), self)->read();
            }
            self->accept();
        });
}

// Connections are accepted until the late request window ends, because the kernel may already have
// completed connections on which a request is about to arrive.
void http_server::state::begin_stop(in_progress_guard guard) {
    if (stopping) {
        return;
    }
    stopping = true;
    late_request_timer.expires_after(late_request_window);
    late_request_timer.async_wait([self = shared_from_this(), guard = std::move(guard)](
                                      beast::error_code) { self->finish_stop(); });
}

void http_server::state::finish_stop() {
    late_request_window_over = true;
    beast::error_code ignored;
    acceptor.close(ignored);
    for (session* const s : sessions) {
        s->close_if_idle();
    }
}

in_progress_guard http_server::state::make_in_progress_guard() {
    in_progress.fetch_add(1);
    return {nullptr, [self = shared_from_this()](void*) { self->in_progress.fetch_sub(1); }};
}

http_server::http_server(event_loop& loop, const endpoint& listen, http_server_limits limits,
                         http_handler& handler)
    : m_state(std::make_shared<state>(loop, limits, handler)) {
    try {
        const tcp::endpoint address(asio::ip::make_address(listen.address), listen.port);
        m_state->acceptor.open(address.protocol());
        m_state->acceptor.set_option(asio::socket_base::reuse_address(true));
        m_state->acceptor.bind(address);
        m_state->acceptor.listen();
    } catch (const boost::system::system_error& e) {
        throw net_error("cannot listen on " + to_string(listen) + ": " + e.code().message());
    }
    m_state->port = m_state->acceptor.local_endpoint().port();
    loop.post([s = m_state] { s->accept(); });
}

http_server::~http_server() {
    m_state->open = false;
    asio::post(m_state->context, [s = m_state] { s->finish_stop(); });
}

std::uint16_t http_server::port() const {
    return m_state->port;
}

void http_server::stop_accepting() {
    // The guard is created here, not on the loop's thread, so that a caller that waits for
    // requests_in_progress() to become 0 also waits for the late request window.
    asio::post(m_state->context,
               [s = m_state, guard = m_state->make_in_progress_guard()]() mutable {
                   s->begin_stop(std::move(guard));
               });
}

std::size_t http_server::requests_in_progress() const {
    return m_state->in_progress;
}

} // namespace buckthornspar::net
