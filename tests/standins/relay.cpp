#include "standins/relay.h"

#include "core/common/name_table.h"
#include "core/net/event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace buckthornspar::standins {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr common::name_table<relay_state, 3> state_names{"relay state", {"open", "cut", "silent"}};

constexpr std::size_t read_size_bytes = 64U << 10U;
/// Number of queued bytes in one direction above which the relay stops reading, like a full TCP
/// window.
constexpr std::size_t max_queued_bytes = 4U << 20U;

/// Bytes from one read; an empty chunk represents the end of the stream.
struct chunk {
    std::chrono::steady_clock::time_point due;
    std::string bytes;
};

/// One direction of a connection.
struct flow {
    explicit flow(asio::io_context& context) : source(context), due(context) {}

    tcp::socket source;
    asio::steady_timer due;
    std::array<char, read_size_bytes> buffer{};
    std::deque<chunk> chunks;
    std::size_t queued_bytes = 0;
    bool reading = false;
    bool writing = false;
    bool ended = false;
    bool end_forwarded = false;
};

constexpr std::size_t forward = 0;
constexpr std::size_t back = 1;

} // namespace

std::string_view to_string(relay_state state) {
    return state_names.name(state);
}

relay_state relay_state_from(std::string_view name) {
    return state_names.value(name);
}

namespace {

class connection;

} // namespace

struct relay::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& c, const net::endpoint& t, common::duration d)
        : context(c), target(asio::ip::make_address(t.address), t.port), delay(d), acceptor(c) {}

    void bind();
    void listen();
    void accept();
    void remove_closed_connections();

    asio::io_context& context;
    tcp::endpoint target;
    common::duration delay;
    tcp::acceptor acceptor;
    tcp::endpoint local{asio::ip::address_v4::loopback(), 0};
    relay_state state = relay_state::open;
    std::array<std::int64_t, 2> bytes{};
    std::vector<std::weak_ptr<connection>> connections;
};

namespace {

class connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<relay::implementation> owner, tcp::socket client)
        : m_owner(std::move(owner)), m_flows{flow(m_owner->context), flow(m_owner->context)} {
        m_flows[forward].source = std::move(client);
    }

    void start() {
        // The TCP handshake takes a round trip, before which the client cannot send its first
        // bytes.
        m_established = std::chrono::steady_clock::now() + 2 * m_owner->delay;
        m_flows[back].source.async_connect(
            m_owner->target,
            [self = shared_from_this()](error_code failure) { self->on_connected(failure); });
    }

    void silence() {
        m_silenced = true;
        for (auto& f : m_flows) {
            f.chunks.clear();
            f.queued_bytes = 0;
            f.due.cancel();
        }
    }

    // A close of one end while the link is silent reaches the other end only when the link is
    // opened.
    void on_link_opened() {
        if (m_closed_while_silent) {
            close();
        }
    }

    void close() {
        m_closed = true;
        for (auto& f : m_flows) {
            error_code ignored;
            f.source.close(ignored);
            f.due.cancel();
        }
    }

private:
    void on_connected(error_code failure) {
        if (failure) {
            close();
            return;
        }
        error_code ignored;
        for (auto& f : m_flows) {
            f.source.set_option(tcp::no_delay(true), ignored);
        }
        read(forward);
        read(back);
    }

    void read(std::size_t direction) {
        flow& f = m_flows[direction];
        if (f.reading || f.ended || m_closed || f.queued_bytes > max_queued_bytes) {
            return;
        }
        f.reading = true;
        f.source.async_read_some(asio::buffer(f.buffer), [self = shared_from_this(), direction](
                                                             error_code failure, std::size_t size) {
            self->on_read(direction, failure, size);
        });
    }

    void on_read(std::size_t direction, error_code failure, std::size_t size) {
        flow& f = m_flows[direction];
        f.reading = false;
        if (m_closed) {
            return;
        }
        f.ended = static_cast<bool>(failure);
        if (m_silenced) {
            on_read_silenced(f.ended);
        } else {
            m_owner->bytes[direction] += static_cast<std::int64_t>(size);
            const auto sent = std::max(std::chrono::steady_clock::now(), m_established);
            f.chunks.push_back({sent + m_owner->delay, std::string(f.buffer.data(), size)});
            f.queued_bytes += size;
            wait_for_front(direction);
        }
        read(direction);
    }

    void on_read_silenced(bool ended) {
        m_closed_while_silent = m_closed_while_silent || ended;
        if (ended && m_owner->state == relay_state::open) {
            close();
        }
    }

    void wait_for_front(std::size_t direction) {
        flow& f = m_flows[direction];
        if (f.writing || f.chunks.empty()) {
            return;
        }
        f.writing = true;
        f.due.expires_at(f.chunks.front().due);
        f.due.async_wait([self = shared_from_this(), direction](error_code failure) {
            self->write_front(direction, failure);
        });
    }

    void write_front(std::size_t direction, error_code failure) {
        flow& f = m_flows[direction];
        if (failure || m_closed || m_silenced) {
            return;
        }
        tcp::socket& destination = m_flows[direction == forward ? back : forward].source;
        // The bytes are moved out of the queue, because silencing the connection clears it.
        auto bytes = std::make_shared<std::string>(std::move(f.chunks.front().bytes));
        f.chunks.pop_front();
        f.queued_bytes -= bytes->size();
        if (bytes->empty()) {
            end(direction, destination);
            return;
        }
        asio::async_write(
            destination, asio::buffer(*bytes),
            [self = shared_from_this(), direction, bytes](error_code write_failure, std::size_t) {
                self->on_written(direction, write_failure);
            });
    }

    void on_written(std::size_t direction, error_code failure) {
        if (failure) {
            close();
            return;
        }
        m_flows[direction].writing = false;
        wait_for_front(direction);
        read(direction);
    }

    void end(std::size_t direction, tcp::socket& destination) {
        error_code ignored;
        destination.shutdown(tcp::socket::shutdown_send, ignored);
        m_flows[direction].end_forwarded = true;
        if (m_flows[direction == forward ? back : forward].end_forwarded) {
            close();
        }
    }

    std::shared_ptr<relay::implementation> m_owner;
    std::array<flow, 2> m_flows;
    std::chrono::steady_clock::time_point m_established;
    bool m_silenced = false;
    bool m_closed_while_silent = false;
    bool m_closed = false;
};

} // namespace

// A bound port without a listener refuses connections and is not assigned to another process.
void relay::implementation::bind() {
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(local);
    local = acceptor.local_endpoint();
}

void relay::implementation::listen() {
    acceptor.listen();
    accept();
}

void relay::implementation::accept() {
    acceptor.async_accept([self = shared_from_this()](error_code failure, tcp::socket client) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (!failure) {
            self->remove_closed_connections();
            auto c = std::make_shared<connection>(self, std::move(client));
            self->connections.push_back(c);
            if (self->state == relay_state::silent) {
                c->silence();
            }
            c->start();
        }
        self->accept();
    });
}

void relay::implementation::remove_closed_connections() {
    std::erase_if(connections, [](const auto& c) { return c.expired(); });
}

relay::relay(net::event_loop& loop, const net::endpoint& target, common::duration one_way_delay)
    : m_implementation(std::make_shared<implementation>(loop.context(), target, one_way_delay)) {
    m_implementation->bind();
    m_implementation->listen();
}

relay::~relay() = default;

void relay::set_state(relay_state state) {
    implementation& i = *m_implementation;
    const relay_state before = std::exchange(i.state, state);
    if (before == state) {
        return;
    }
    if (state == relay_state::cut) {
        i.acceptor.close();
        i.bind();
    } else if (before == relay_state::cut) {
        i.listen();
    }
    for (const auto& weak : i.connections) {
        const auto c = weak.lock();
        if (!c) {
            continue;
        }
        if (state == relay_state::cut) {
            c->close();
        } else if (state == relay_state::silent) {
            c->silence();
        } else {
            c->on_link_opened();
        }
    }
}

relay_state relay::state() const {
    return m_implementation->state;
}

net::endpoint relay::address() const {
    return {m_implementation->local.address().to_string(), m_implementation->local.port()};
}

relay_bytes relay::bytes() const {
    return {m_implementation->bytes[forward], m_implementation->bytes[back]};
}

std::size_t relay::open_connections() const {
    m_implementation->remove_closed_connections();
    return m_implementation->connections.size();
}

} // namespace buckthornspar::standins
