#include "core/net/http_client.h"

#include "core/common/name_table.h"
#include "core/net/event_loop.h"
#include "core/net/read_message.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace buckthornspar::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr common::name_table<http_failure_kind, 7> failure_names{
    "http failure",
    {"connect_failed", "timed_out", "connection_lost", "bad_response", "cancelled",
     "pool_exhausted", "response_too_large"}};

http::verb to_verb(http_method method) {
    switch (method) {
    case http_method::get:
        return http::verb::get;
    case http_method::post:
        return http::verb::post;
    case http_method::put:
        return http::verb::put;
    case http_method::del:
        return http::verb::delete_;
    }
    return http::verb::get;
}

// Of a header, a chunk header or trailers, and one read behind them.
constexpr std::size_t max_pending_bytes = std::size_t{128} << 10U;
// A body in chunks of one byte takes six bytes for each.
constexpr std::size_t bytes_per_body_byte = 8;
// The connection was not attempted, so that the failure tells nothing about the peer.
bool is_local_shortage(beast::error_code failure) {
    return failure == asio::error::no_descriptors || failure == asio::error::no_buffer_space ||
           failure == asio::error::no_memory || failure == asio::error::address_in_use ||
           failure == boost::system::errc::too_many_files_open_in_system ||
           failure == boost::system::errc::address_not_available;
}

struct idle_connection {
    std::unique_ptr<beast::tcp_stream> stream;
    std::chrono::steady_clock::time_point idle_since;
};

class exchange;

struct connection_pool {
    std::deque<idle_connection> idle;
    std::size_t busy = 0;
    /// Requests that wait for a connection, in their order. Kept alive by their timers.
    std::deque<std::weak_ptr<exchange>> waiting_first;
    std::deque<std::weak_ptr<exchange>> waiting;
};

} // namespace

struct http_client::state : std::enable_shared_from_this<state> {
    state(event_loop& l, http_client_limits lim) : context(l.context()), limits(std::move(lim)) {}

    [[nodiscard]] std::unique_ptr<beast::tcp_stream> take_idle(const endpoint& to);
    void add_idle(const endpoint& to, std::unique_ptr<beast::tcp_stream> stream);
    /// A connection to the endpoint is no longer in use: the next waiting request gets it.
    void release(const endpoint& to);

    asio::io_context& context;
    http_client_limits limits;
    std::map<endpoint, connection_pool> pools;
    /// Kept alive by their pending operations, so that they do not keep the state alive in turn.
    std::unordered_map<std::uint64_t, std::weak_ptr<exchange>> exchanges;
    std::atomic<std::uint64_t> next_id{1};
};

namespace {

// One request and its response on a connection.
class exchange : public std::enable_shared_from_this<exchange>, public budget_member {
public:
    exchange(std::shared_ptr<http_client::state> client, std::uint64_t id, endpoint to,
             http_completion complete)
        : m_client(std::move(client)),
          m_id(id),
          m_to(std::move(to)),
          m_complete(std::move(complete)),
          m_deadline(m_client->context) {}

    ~exchange() override = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    void start(http_request request, common::duration timeout, connection_wait wait) {
        build(std::move(request));
        m_timeout = timeout;
        connection_pool& pool = m_client->pools[m_to];
        if (pool.busy < m_client->limits.max_connections_per_endpoint) {
            ++pool.busy;
            use_connection();
            return;
        }
        const auto waiting = pool.waiting_first.size() + pool.waiting.size();
        if (wait.longest <= common::duration(0) ||
            waiting >= m_client->limits.max_waiting_per_endpoint) {
            m_finished = true;
            finish_later(http_failure{http_failure_kind::pool_exhausted, false});
            return;
        }
        (wait.first ? pool.waiting_first : pool.waiting).push_back(weak_from_this());
        fail_after(wait.longest, http_failure_kind::pool_exhausted);
    }

    [[nodiscard]] bool is_finished() const { return m_finished; }

    /// The request gets a connection, which pool.busy counts already.
    void use_connection() {
        if (m_finished) {
            m_client->release(m_to);
            return;
        }
        m_has_connection = true;
        fail_after(m_timeout, http_failure_kind::timed_out);
        m_stream = m_client->take_idle(m_to);
        if (m_stream) {
            write();
            return;
        }
        connect();
    }

    void fail(http_failure_kind kind) {
        if (m_finished) {
            return;
        }
        m_finished = true;
        if (m_stream) {
            beast::error_code ignored;
            m_stream->socket().close(ignored);
        }
        if (m_has_connection) {
            m_client->release(m_to);
        }
        finish(http_failure{kind, m_request_sent});
    }

private:
    // Responses that arrive are never evicted.
    void on_evicted(eviction_reason /*reason*/) override {}

    beast::error_code on_part(const arrived_part& part) {
        const auto& limits = m_client->limits;
        if (part.pending_bytes > max_pending_bytes ||
            part.bytes > max_pending_bytes + limits.max_body_bytes * bytes_per_body_byte) {
            return http::make_error_code(http::error::header_limit);
        }
        if (!limits.guard) {
            return {};
        }
        if (!m_account) {
            m_account.emplace(limits.guard->budget, *this, nullptr);
        }
        const auto bytes = m_parser->get().body().capacity() + m_buffer.capacity();
        return m_account->set(budget_use::awaited, bytes)
                   ? beast::error_code()
                   : http::make_error_code(http::error::buffer_overflow);
    }

    [[nodiscard]] static http_failure_kind kind_of(beast::error_code failure) {
        if (failure == http::error::end_of_stream || failure == http::error::partial_message ||
            failure.category() == asio::error::get_system_category()) {
            return http_failure_kind::connection_lost;
        }
        return failure == http::error::body_limit || failure == http::error::header_limit ||
                       failure == http::error::buffer_overflow
                   ? http_failure_kind::response_too_large
                   : http_failure_kind::bad_response;
    }

    void fail_after(common::duration time, http_failure_kind kind) {
        m_deadline.expires_after(time);
        m_deadline.async_wait([self = shared_from_this(), kind](beast::error_code failure) {
            if (!failure) {
                self->fail(kind);
            }
        });
    }

    void build(http_request request) {
        m_request.version(11);
        m_request.method(to_verb(request.method));
        m_request.target(request.target);
        m_request.set(http::field::host, to_string(m_to));
        for (const auto& [name, value] : request.fields.all()) {
            m_request.set(name, value);
        }
        m_request.keep_alive(true);
        m_request.body() = std::move(request.body);
        m_request.prepare_payload();
    }

    void connect() {
        m_stream = std::make_unique<beast::tcp_stream>(m_client->context);
        beast::error_code bad_address;
        const auto address = asio::ip::make_address(m_to.address, bad_address);
        if (bad_address) {
            m_finished = true;
            m_client->release(m_to);
            finish_later(http_failure{http_failure_kind::connect_failed, false});
            return;
        }
        m_stream->expires_after(m_client->limits.connect_timeout);
        m_stream->async_connect(tcp::endpoint(address, m_to.port),
                                [self = shared_from_this()](beast::error_code failure) {
                                    self->on_connected(failure);
                                });
    }

    void on_connected(beast::error_code failure) {
        if (m_finished) {
            return;
        }
        if (failure) {
            fail(is_local_shortage(failure) ? http_failure_kind::pool_exhausted
                                            : http_failure_kind::connect_failed);
            return;
        }
        beast::error_code ignored;
        m_stream->socket().set_option(tcp::no_delay(true), ignored);
        m_stream->expires_never();
        write();
    }

    void write() {
        m_request_sent = true;
        http::async_write(*m_stream, m_request,
                          [self = shared_from_this()](beast::error_code failure, std::size_t) {
                              self->on_written(failure);
                          });
    }

    void on_written(beast::error_code failure) {
        if (m_finished) {
            return;
        }
        if (failure) {
            fail(http_failure_kind::connection_lost);
            return;
        }
        m_parser.emplace();
        m_parser->body_limit(m_client->limits.max_body_bytes);
        async_read_message(
            *m_stream, m_buffer, *m_parser,
            [this](const arrived_part& part) { return on_part(part); },
            [self = shared_from_this()](beast::error_code read_failure) {
                self->on_read(read_failure);
            });
    }

    void on_read(beast::error_code failure) {
        if (m_finished) {
            return;
        }
        if (failure) {
            const auto kind = kind_of(failure);
            if (kind == http_failure_kind::response_too_large && m_client->limits.guard) {
                m_client->limits.guard->refusals.note(refusal_reason::response_too_large);
            }
            fail(kind);
            return;
        }
        auto message = m_parser->release();
        http_response response;
        response.status = message.result_int();
        for (const auto& field : message) {
            response.fields.set(field.name_string(), field.value());
        }
        response.body = std::move(message.body());
        m_account.reset();
        m_finished = true;
        if (message.keep_alive()) {
            m_client->add_idle(m_to, std::move(m_stream));
        }
        m_client->release(m_to);
        finish(std::move(response));
    }

    // A call must not complete before send() has returned.
    void finish_later(http_failure failure) {
        asio::post(m_client->context,
                   [self = shared_from_this(), failure] { self->finish(failure); });
    }

    void finish(http_result result) {
        m_deadline.cancel();
        const auto self = shared_from_this();
        m_client->exchanges.erase(m_id);
        m_complete(std::move(result));
    }

    std::shared_ptr<http_client::state> m_client;
    std::uint64_t m_id;
    endpoint m_to;
    http_completion m_complete;
    asio::steady_timer m_deadline;
    std::unique_ptr<beast::tcp_stream> m_stream;
    http::request<http::string_body> m_request;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::string_body>> m_parser;
    std::optional<request_budget::account> m_account;
    common::duration m_timeout{0};
    bool m_has_connection = false;
    bool m_request_sent = false;
    bool m_finished = false;
};

// An idle connection that is readable is unusable: the peer has closed it or has sent bytes that
// belong to no request.
bool is_usable(beast::tcp_stream& stream) {
    beast::error_code failure;
    char byte = 0;
    stream.socket().non_blocking(true, failure);
    stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failure);
    return failure == asio::error::would_block;
}

} // namespace

std::unique_ptr<beast::tcp_stream> http_client::state::take_idle(const endpoint& to) {
    auto& idle = pools[to].idle;
    const auto now = std::chrono::steady_clock::now();
    while (!idle.empty()) {
        idle_connection connection = std::move(idle.back());
        idle.pop_back();
        if (now - connection.idle_since < limits.idle_timeout && is_usable(*connection.stream)) {
            return std::move(connection.stream);
        }
    }
    return nullptr;
}

void http_client::state::add_idle(const endpoint& to, std::unique_ptr<beast::tcp_stream> stream) {
    pools[to].idle.push_back({std::move(stream), std::chrono::steady_clock::now()});
}

void http_client::state::release(const endpoint& to) {
    auto& pool = pools[to];
    for (auto* const queue : {&pool.waiting_first, &pool.waiting}) {
        while (!queue->empty()) {
            const auto next = queue->front().lock();
            queue->pop_front();
            if (next && !next->is_finished()) {
                // The connection goes on to count as busy. Posted, because requests that cannot
                // connect release theirs at once, and a long queue of them would nest.
                asio::post(context, [next] { next->use_connection(); });
                return;
            }
        }
    }
    --pool.busy;
}

http_client::http_client(event_loop& loop, http_client_limits limits)
    : m_state(std::make_shared<state>(loop, std::move(limits))) {}

http_client::~http_client() = default;

std::uint64_t http_client::send(const endpoint& to, http_request request, common::duration timeout,
                                http_completion complete, connection_wait wait) {
    const std::uint64_t id = m_state->next_id.fetch_add(1);
    // On the loop's thread the request is sent at once, and not behind all that is ready: a busy
    // loop would delay it twice, as a timer or response and as a request.
    asio::dispatch(m_state->context, [s = m_state, id, to, request = std::move(request), timeout,
                                      wait, complete = std::move(complete)]() mutable {
        const auto e = std::make_shared<exchange>(s, id, to, std::move(complete));
        s->exchanges.emplace(id, e);
        e->start(std::move(request), timeout, wait);
    });
    return id;
}

void http_client::cancel(std::uint64_t id) {
    asio::post(m_state->context, [s = m_state, id] {
        const auto position = s->exchanges.find(id);
        if (position == s->exchanges.end()) {
            return;
        }
        if (const auto e = position->second.lock()) {
            e->fail(http_failure_kind::cancelled);
        }
    });
}

void http_client::close_idle(const endpoint& to) {
    // A posted task would run only after the current one, so that a retry from within a completion,
    // or by a thread that the completion has woken, could still take one of these connections.
    asio::dispatch(m_state->context, [s = m_state, to] { s->pools[to].idle.clear(); });
}

std::string_view to_string(http_failure_kind kind) {
    return failure_names.name(kind);
}

} // namespace buckthornspar::net
