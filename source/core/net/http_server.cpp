#include "core/net/http_server.h"

#include "core/common/logging.h"
#include "core/net/event_loop.h"
#include "core/net/net_error.h"
#include "core/net/read_message.h"
#include "core/net/refusal_response.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

namespace buckthornspar::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

// After the start of a stop, requests are still answered for this long, with "Connection: close".
// Otherwise, a client that has just sent a request would lose it.
constexpr auto late_request_window = std::chrono::milliseconds(300);
// After that period, the rest of a request must arrive, and a response be read, within this time.
constexpr auto unfinished_window = std::chrono::seconds(2);
constexpr auto accept_retry = std::chrono::milliseconds(10);
constexpr std::size_t discard_read_bytes = std::size_t{64} << 10U;

class session;

} // namespace

// Counts as one request in progress for as long as a copy exists.
using in_progress_guard = std::shared_ptr<void>;

struct http_server::state : std::enable_shared_from_this<state> {
    state(event_loop& l, http_server_limits lim, http_handler& h)
        : context(l.context()),
          limits(std::move(lim)),
          handler(h),
          acceptor(l.context()),
          late_request_timer(l.context()),
          accept_timer(l.context()) {}

    void accept();
    void begin_stop(in_progress_guard guard);
    void finish_stop();
    void end_unfinished();
    void on_accepted(tcp::socket socket);
    void retry_accept();
    void note(refusal_reason reason) const;
    [[nodiscard]] in_progress_guard make_in_progress_guard();

    asio::io_context& context;
    http_server_limits limits;
    http_handler& handler;
    tcp::acceptor acceptor;
    asio::steady_timer late_request_timer;
    asio::steady_timer accept_timer;
    // Target of reads whose bytes nobody uses.
    std::vector<char> discarded = std::vector<char>(discard_read_bytes);
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
constexpr auto discard_time = std::chrono::seconds(5);
// Discarding takes no memory. A client that sends less than this in time receives its refusal.
constexpr std::size_t max_discarded_bytes = std::size_t{64} << 20U;
// What a connection and a message need beside the body and the read buffer.
constexpr std::size_t message_overhead_bytes = 4096;
// A header, or trailers, at their limit and one read behind them.
constexpr std::size_t max_buffer_bytes = std::size_t{256} << 10U;
constexpr std::size_t idle_buffer_bytes = std::size_t{8} << 10U;

enum class session_phase { reading, in_progress, writing, discarding };

class session : public std::enable_shared_from_this<session>, public budget_member {
public:
    session(tcp::socket socket, std::shared_ptr<http_server::state> server)
        : m_stream(std::move(socket)), m_server(std::move(server)), m_buffer(max_buffer_bytes) {
        m_server->sessions.insert(this);
        if (m_server->limits.guard) {
            m_account.emplace(m_server->limits.guard->budget, *this, m_server.get());
        }
    }

    session(const session&) = delete;
    session& operator=(const session&) = delete;

    ~session() override { m_server->sessions.erase(this); }

    void read() {
        const request_limits& limits = m_server->limits.request;
        m_parser.emplace();
        m_parser->body_limit(limits.max_body_bytes);
        m_parser->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
        m_stream.expires_after(m_server->limits.idle_timeout);
        m_progress.reset();
        m_phase = session_phase::reading;
        if (m_account) {
            m_account->clear();
        }
        async_read_message(
            m_stream, m_buffer, *m_parser,
            [this](const arrived_part& part) { return on_part(part); },
            [self = shared_from_this()](beast::error_code failure) { self->on_read(failure); });
    }

    // A request that has been received in part may arrive within the unfinished window.
    void close_if_idle() {
        if (m_phase != session_phase::reading) {
            return;
        }
        if (m_parser->got_some()) {
            m_partial_request_guard = m_server->make_in_progress_guard();
            return;
        }
        m_stream.cancel();
    }

    void end_unfinished() {
        if (m_phase == session_phase::reading) {
            m_refusal = refusal_reason::stopping;
            m_stream.cancel();
        } else if (m_phase == session_phase::writing) {
            m_server->note(refusal_reason::response_not_read);
            m_stream.close();
        }
    }

private:
    void on_evicted(eviction_reason reason) override {
        m_refusal = reason == eviction_reason::memory ? refusal_reason::memory_full
                                                      : refusal_reason::connections_full;
        if (reason == eviction_reason::memory && m_phase == session_phase::reading) {
            m_stream.cancel();
            return;
        }
        m_server->note(m_phase == session_phase::writing ? refusal_reason::response_not_read
                                                         : *m_refusal);
        m_stream.close();
    }

    // Returns false if the memory of the process does not suffice.
    [[nodiscard]] bool account_for(budget_use use, std::size_t body_bytes) {
        return !m_account ||
               m_account->set(use, body_bytes + m_buffer.capacity() + message_overhead_bytes);
    }

    beast::error_code on_part(const arrived_part& part) {
        if (!m_refusal) {
            m_refusal =
                m_progress.add(m_server->limits.request, part, std::chrono::steady_clock::now());
        }
        if (!m_refusal && !account_for(budget_use::receiving, m_parser->get().body().capacity())) {
            m_refusal = refusal_reason::memory_full;
        }
        if (m_refusal) {
            return asio::error::operation_aborted;
        }
        m_stream.expires_at(m_progress.deadline());
        return {};
    }

    void on_read(beast::error_code failure) {
        if (m_refusal) {
            refuse(*m_refusal);
            return;
        }
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
            refuse(refusal_reason::body_too_large);
            return;
        }
        if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
            refuse(refusal_reason::header_too_large);
            return;
        }
        if (failure == beast::error::timeout && m_progress.has_begun()) {
            m_server->note(refusal_reason::too_slow);
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

    // The request has not reached the handler.
    void refuse(refusal_reason reason) {
        if (reason == refusal_reason::connections_full) {
            return;
        }
        m_server->note(reason);
        m_keep_alive = false;
        m_parser.reset();
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        write(refusal_response(reason, m_server->limits.request));
    }

    void dispatch(http_request request) {
        if (!m_server->open) {
            return;
        }
        if (!account_for(budget_use::in_progress, request.body.capacity())) {
            refuse(refusal_reason::memory_full);
            return;
        }
        m_phase = session_phase::in_progress;
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
        m_message.emplace();
        m_message->version(11);
        m_message->result(response.status);
        for (const auto& [name, value] : response.fields.all()) {
            m_message->set(name, value);
        }
        m_keep_alive = m_keep_alive && !m_server->stopping;
        m_message->keep_alive(m_keep_alive);
        m_message->body() = std::move(response.body);
        m_message->prepare_payload();
        m_phase = session_phase::writing;
        if (!account_for(budget_use::sending, m_message->body().capacity())) {
            m_server->note(refusal_reason::response_not_read);
            m_stream.close();
            return;
        }
        m_stream.expires_after(m_server->stopping ? std::chrono::milliseconds(unfinished_window)
                                                  : m_server->limits.request.request_timeout);
        http::async_write(m_stream, *m_message,
                          [self = shared_from_this(),
                           guard = std::move(guard)](beast::error_code failure, std::size_t) {
                              self->on_written(failure);
                          });
    }

    void on_written(beast::error_code failure) {
        if (failure) {
            if (failure == beast::error::timeout) {
                m_server->note(refusal_reason::response_not_read);
            }
            return;
        }
        // Assignment of an empty message would keep the memory of the body.
        m_message.reset();
        if (!m_keep_alive || m_server->late_request_window_over) {
            m_partial_request_guard.reset();
            beast::error_code ignored;
            m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
            m_phase = session_phase::discarding;
            m_discard_end = std::chrono::steady_clock::now() + discard_time;
            m_parser.reset();
            m_buffer.clear();
            m_buffer.shrink_to_fit();
            if (m_account) {
                m_account->clear();
            }
            discard();
            return;
        }
        if (m_buffer.capacity() > idle_buffer_bytes) {
            m_buffer.shrink_to_fit();
        }
        read();
    }

    // Reads and discards remaining data from the client. Closing a socket with unread data resets
    // the connection, and the client would lose the response, for example the 413 for an oversized
    // body.
    void discard() {
        m_stream.expires_at(
            std::min(m_discard_end, std::chrono::steady_clock::now() + discard_timeout));
        m_stream.async_read_some(
            asio::buffer(m_server->discarded),
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
    std::optional<http::response<http::string_body>> m_message;
    std::optional<request_budget::account> m_account;
    request_progress m_progress;
    // Set while the request is read: it gets this refusal, or its connection is closed.
    std::optional<refusal_reason> m_refusal;
    session_phase m_phase = session_phase::reading;
    std::size_t m_discarded = 0;
    std::chrono::steady_clock::time_point m_discard_end;
    bool m_keep_alive = true;
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
            if (failure == asio::error::no_descriptors || failure == asio::error::no_buffer_space ||
                failure == asio::error::no_memory) {
                self->retry_accept();
                return;
            }
            if (!failure) {
                self->on_accepted(std::move(socket));
            }
            self->accept();
        });
}

void http_server::state::on_accepted(tcp::socket socket) {
    const bool has_room = limits.guard ? limits.guard->budget.make_room_for_connection(
                                             this, sessions.size(), limits.max_connections)
                                       : sessions.size() < limits.max_connections;
    if (!has_room) {
        note(refusal_reason::connections_full);
        return;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<session>(std::move(socket), shared_from_this())->read();
}

// The connection stays in the queue of the system, which reports it again at once.
void http_server::state::retry_accept() {
    if (limits.guard) {
        (void)limits.guard->budget.evict_connection(nullptr);
    }
    accept_timer.expires_after(accept_retry);
    accept_timer.async_wait([self = shared_from_this()](beast::error_code failure) {
        if (!failure && self->acceptor.is_open()) {
            self->accept();
        }
    });
}

void http_server::state::note(refusal_reason reason) const {
    if (limits.guard) {
        limits.guard->refusals.note(reason);
    }
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
    late_request_timer.expires_after(unfinished_window);
    late_request_timer.async_wait([self = shared_from_this()](beast::error_code failure) {
        if (!failure) {
            self->end_unfinished();
        }
    });
}

void http_server::state::end_unfinished() {
    for (session* const s : sessions) {
        s->end_unfinished();
    }
}

in_progress_guard http_server::state::make_in_progress_guard() {
    in_progress.fetch_add(1);
    return {nullptr, [self = shared_from_this()](void*) { self->in_progress.fetch_sub(1); }};
}

http_server::http_server(event_loop& loop, const endpoint& listen, http_server_limits limits,
                         http_handler& handler)
    : m_state(std::make_shared<state>(loop, std::move(limits), handler)) {
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

void http_server::set_limits(const request_limits& limits, common::duration idle_timeout) {
    m_state->limits.request = limits;
    m_state->limits.idle_timeout = idle_timeout;
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
