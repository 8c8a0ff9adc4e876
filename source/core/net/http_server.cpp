#include "core/net/http_server.h"

#include "core/net/event_loop.h"
#include "core/net/net_error.h"

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

// Requests that arrive on an open connection in this time after the start of a stop still get an
// answer, with "Connection: close". A client that has just sent one would otherwise lose it.
constexpr auto stop_linger = std::chrono::milliseconds(300);

class session;

} // namespace

// Counts as work in progress for as long as a copy of it exists.
using ticket = std::shared_ptr<void>;

struct http_server::state : std::enable_shared_from_this<state> {
    state(event_loop& l, http_server_limits lim, http_handler& h)
        : context(l.context()),
          limits(lim),
          handler(h),
          acceptor(l.context()),
          linger(l.context()) {}

    void accept();
    void begin_stop(ticket stop_ticket);
    void end_linger();
    [[nodiscard]] ticket take_ticket();

    asio::io_context& context;
    http_server_limits limits;
    http_handler& handler;
    tcp::acceptor acceptor;
    asio::steady_timer linger;
    std::unordered_set<session*> sessions;
    std::atomic<std::size_t> in_progress{0};
    // Cleared by the server's destructor, after which the handler must not be called.
    std::atomic<bool> open{true};
    bool stopping = false;
    bool linger_over = false;
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
constexpr std::size_t discard_step_bytes = std::size_t{64} << 10U;
constexpr std::size_t max_discard_bytes = std::size_t{64} << 20U;

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
        http::async_read(m_stream, m_buffer, *m_parser,
                         [self = shared_from_this()](beast::error_code failure, std::size_t) {
                             self->on_read(failure);
                         });
    }

    // A request of which a part has arrived is read to its end.
    void close_if_idle() {
        if (!m_reading) {
            return;
        }
        if (m_parser->got_some()) {
            m_ticket = m_server->take_ticket();
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
                                 "the body is larger than " +
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
        auto answered = std::make_shared<std::atomic<bool>>(false);
        // The copy of the ticket lives until the response has been written.
        auto reply = [self = shared_from_this(), answered,
                      held = m_server->take_ticket()](http_response response) {
            if (answered->exchange(true)) {
                return;
            }
            asio::post(self->m_server->context,
                       [self, held, response = std::move(response)]() mutable {
                           self->write(std::move(response), std::move(held));
                       });
        };
        m_ticket.reset();
        m_server->handler.handle(std::move(request), std::move(reply));
    }

    void write(http_response response, ticket held = {}) {
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
                           held = std::move(held)](beast::error_code failure, std::size_t) {
                              self->on_written(failure);
                          });
    }

    void on_written(beast::error_code failure) {
        if (failure) {
            return;
        }
        if (!m_keep_alive || m_server->linger_over) {
            beast::error_code ignored;
            m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            m_discarded = 0;
            discard();
            return;
        }
        read();
    }

    // Reads what the client still sends. Closing a socket with unread data resets the connection,
    // and the client would lose the response, for example the 413 for an oversized body.
    void discard() {
        m_buffer.clear();
        m_stream.expires_after(discard_timeout);
        m_stream.async_read_some(
            m_buffer.prepare(discard_step_bytes),
            [self = shared_from_this()](beast::error_code failure, std::size_t size) {
                self->m_discarded += size;
                if (!failure && self->m_discarded < max_discard_bytes) {
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
    // Held while a request that the stop found half read is in progress.
    ticket m_ticket;
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

// Connections are accepted until the end of the linger time, because the kernel may already have
// completed some whose request is on its way.
void http_server::state::begin_stop(ticket stop_ticket) {
    if (stopping) {
        return;
    }
    stopping = true;
    linger.expires_after(stop_linger);
    linger.async_wait([self = shared_from_this(),
                       held = std::move(stop_ticket)](beast::error_code) { self->end_linger(); });
}

void http_server::state::end_linger() {
    linger_over = true;
    beast::error_code ignored;
    acceptor.close(ignored);
    for (session* const s : sessions) {
        s->close_if_idle();
    }
}

ticket http_server::state::take_ticket() {
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
    asio::post(m_state->context, [s = m_state] { s->end_linger(); });
}

std::uint16_t http_server::port() const {
    return m_state->port;
}

void http_server::stop_accepting() {
    // The ticket is taken here, so that a caller who waits for the work in progress also waits for
    // the linger time.
    asio::post(m_state->context, [s = m_state, held = m_state->take_ticket()]() mutable {
        s->begin_stop(std::move(held));
    });
}

std::size_t http_server::requests_in_progress() const {
    return m_state->in_progress;
}

} // namespace buckthornspar::net
