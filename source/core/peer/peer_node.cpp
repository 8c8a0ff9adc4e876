#include "core/peer/peer_node.h"

#include "core/common/bounded_queue.h"
#include "core/common/counters.h"
#include "core/net/net_error.h"
#include "core/peer/peer_codec.h"
#include "core/peer/peer_service.h"

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>
#include <kj/async-io.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace buckthornspar::peer {

namespace {

// A scheduler answers no later than the deadline of the call. The margin lets a refusal sent at the
// deadline arrive; a refusal states that nothing was done, whereas a time-out leaves that open.
constexpr common::duration refusal_margin = std::chrono::milliseconds(300);

kj::Duration to_kj(common::duration d) {
    return d.count() * kj::MICROSECONDS;
}

// The library allocates a message by its announced length before it has arrived. The largest
// messages carry a few configurations.
constexpr std::uint64_t max_message_words = (std::uint64_t{32} << 20U) / sizeof(capnp::word);
constexpr auto accept_retry = 100 * kj::MILLISECONDS;

capnp::ReaderOptions reader_options() {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_message_words;
    return options;
}

// Connection of a peer that calls this process.
struct accepted_connection {
    accepted_connection(kj::Own<kj::AsyncIoStream> s, capnp::Capability::Client service)
        : stream(kj::mv(s)),
          network(*stream, capnp::rpc::twoparty::Side::SERVER, reader_options()),
          rpc(capnp::makeRpcServer(network, kj::mv(service))) {}

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

// Connection to one peer. The client queues calls made before the connection is established.
struct connection {
    bool established = false;
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc;
    std::optional<schema::Peer::Client> client;
};

capnp::Capability::Client bootstrap_of(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& rpc) {
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return rpc.bootstrap(server);
}

using connection_ptr = std::shared_ptr<connection>;

// State of the peer thread. Used on that thread only.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): the base is only a callback.
class peer_loop final : private kj::TaskSet::ErrorHandler {
public:
    peer_loop(peer_handler& handler, peer_limits limits, common::counters& counters)
        : m_io(kj::setupAsyncIo()),
          m_limits(limits),
          m_counters(counters),
          m_server(kj::heap<peer_service>(handler)),
          m_tasks(*this) {}

    std::uint16_t listen(const net::endpoint& address) {
        const auto text = net::to_string(address);
        auto parsed = m_io.provider->getNetwork().parseAddress(text.c_str()).wait(m_io.waitScope);
        m_listener = parsed->listen();
        m_tasks.add(accept());
        return static_cast<std::uint16_t>(m_listener->getPort());
    }

    kj::WaitScope& wait_scope() { return m_io.waitScope; }

    // Closed connections are destroyed here because a connection must not be destroyed in its own
    // callback.
    void destroy_closed() { m_closed.clear(); }

    // send makes the call and returns a promise of the result. complete gets the result, or on
    // failure whether the connection was established, so that the peer may have executed the call.
    template <typename Result, typename Send, typename Complete>
    void call(const net::endpoint& to, common::duration timeout, Send send, Complete complete) {
        const connection_ptr c = connect(to);
        auto shared = std::make_shared<Complete>(std::move(complete));
        kj::Promise<Result> answer = send(*c->client);
        m_tasks.add(m_io.provider->getTimer()
                        .timeoutAfter(to_kj(timeout), kj::mv(answer))
                        .then([shared](Result result) { shared->succeeded(std::move(result)); },
                              [this, shared, c, to](const kj::Exception& failure) {
                                  const bool sent = c->established;
                                  close(to, c, failure);
                                  shared->failed(sent);
                              }));
    }

private:
    kj::Promise<void> accept() {
        return m_listener->accept().then(
            [this](kj::Own<kj::AsyncIoStream> stream) {
                if (m_accepted < m_limits.max_accepted_connections) {
                    serve(kj::mv(stream));
                } else {
                    m_counters.get("refusals_total", "reason", "peer_connections_full").add();
                }
                return accept();
            },
            // Without a descriptor for it, a connection stays in the queue of the system.
            [this](const kj::Exception& /*failure*/) {
                m_counters.get("peer_task_failures_total").add();
                return m_io.provider->getTimer().afterDelay(accept_retry).then([this] {
                    return accept();
                });
            });
    }

    void serve(kj::Own<kj::AsyncIoStream> stream) {
        ++m_accepted;
        auto accepted =
            kj::heap<accepted_connection>(kj::mv(stream), capnp::Capability::Client(m_server));
        auto closed = accepted->network.onDisconnect();
        m_tasks.add(closed.attach(kj::mv(accepted), kj::defer([this] { --m_accepted; })));
    }

    connection_ptr connect(const net::endpoint& to) {
        connection_ptr& current = m_connections[to];
        if (current) {
            return current;
        }
        current = std::make_shared<connection>();
        auto ready = open(to, current).fork();
        current->client = schema::Peer::Client(ready.addBranch());
        return current;
    }

    kj::Promise<schema::Peer::Client> open(const net::endpoint& to, const connection_ptr& c) {
        const auto text = net::to_string(to);
        auto connected = m_io.provider->getNetwork()
                             .parseAddress(text.c_str())
                             .then([](kj::Own<kj::NetworkAddress> address) {
                                 auto promise = address->connect();
                                 return promise.attach(kj::mv(address));
                             });
        return m_io.provider->getTimer()
            .timeoutAfter(to_kj(m_limits.connect_timeout), kj::mv(connected))
            .then([weak = std::weak_ptr(c)](
                      kj::Own<kj::AsyncIoStream> stream) -> schema::Peer::Client {
                // The connection's client owns this callback. A strong reference would form a cycle
                // that outlives the event loop.
                const auto opened = weak.lock();
                if (!opened) {
                    kj::throwFatalException(
                        KJ_EXCEPTION(DISCONNECTED, "connection closed before it was established"));
                }
                opened->stream = kj::mv(stream);
                opened->network = kj::heap<capnp::TwoPartyVatNetwork>(
                    *opened->stream, capnp::rpc::twoparty::Side::CLIENT, reader_options());
                auto& rpc = opened->rpc.emplace(capnp::makeRpcClient(*opened->network));
                opened->established = true;
                return bootstrap_of(rpc).castAs<schema::Peer>();
            });
    }

    void close(const net::endpoint& to, const connection_ptr& c, const kj::Exception& failure) {
        const bool timed_out = failure.getType() == kj::Exception::Type::OVERLOADED;
        m_counters.get("peer_call_failures_total", "reason", timed_out ? "timeout" : "disconnected")
            .add();
        const auto position = m_connections.find(to);
        if (position != m_connections.end() && position->second == c) {
            m_connections.erase(position);
        }
        m_closed.push_back(c);
    }

    // Called for failures of the accept loop and of completion callbacks; failed calls are handled
    // in call().
    void taskFailed(kj::Exception&&) override { m_counters.get("peer_task_failures_total").add(); }

    kj::AsyncIoContext m_io;
    peer_limits m_limits;
    common::counters& m_counters;
    std::map<net::endpoint, connection_ptr> m_connections;
    std::vector<connection_ptr> m_closed;
    kj::Own<kj::ConnectionReceiver> m_listener;
    capnp::Capability::Client m_server;
    std::size_t m_accepted = 0;
    // Last member, so that its destructor cancels the calls before their connections are destroyed.
    kj::TaskSet m_tasks;
};

template <typename T>
struct optional_completion {
    std::function<void(std::optional<T>)> complete;
    void succeeded(T value) { complete(std::move(value)); }
    void failed(bool) { complete(std::nullopt); }
};

struct ignored_completion {
    void succeeded(bool) {}
    void failed(bool) {}
};

struct job_completion {
    std::function<void(job_reply)> complete;
    void succeeded(job_reply reply) { complete(std::move(reply)); }
    void failed(bool sent) {
        job_reply reply;
        reply.status = sent ? reply_status::no_answer : reply_status::not_sent;
        complete(std::move(reply));
    }
};

using loop_task = std::function<void(peer_loop&)>;

// A submission may wait for the store until its deadline. Other calls are answered promptly
// or not at all, so a shorter timeout leaves time to ask another process.
common::duration job_call_timeout(const job_call& call, common::duration call_timeout) {
    if (call.deadline_ms == 0) {
        return call_timeout;
    }
    const common::duration deadline = std::chrono::milliseconds(call.deadline_ms) + refusal_margin;
    return call.operation == job_operation::submit ? deadline : std::min(deadline, call_timeout);
}

kj::Promise<job_reply> send_job_call(schema::Peer::Client client, const job_call& call) {
    const auto decode_reply = [](auto response) { return decode(response.getReply()); };
    switch (call.operation) {
    case job_operation::submit: {
        auto request = client.submitJobRequest();
        encode(call.from, request.initSender());
        request.setShard(call.shard.c_str());
        request.setJob(call.job_or_id.c_str());
        request.setDeadlineMs(call.deadline_ms);
        return request.send().then(decode_reply);
    }
    case job_operation::explain: {
        auto request = client.explainJobRequest();
        encode(call.from, request.initSender());
        request.setShard(call.shard.c_str());
        request.setId(call.job_or_id.c_str());
        return request.send().then(decode_reply);
    }
    case job_operation::cancel: {
        auto request = client.cancelJobRequest();
        encode(call.from, request.initSender());
        request.setShard(call.shard.c_str());
        request.setId(call.job_or_id.c_str());
        return request.send().then(decode_reply);
    }
    case job_operation::status:
        break;
    }
    auto request = client.jobStatusRequest();
    encode(call.from, request.initSender());
    request.setShard(call.shard.c_str());
    request.setId(call.job_or_id.c_str());
    return request.send().then(decode_reply);
}

} // namespace

struct peer_node::state {
    state(peer_handler& h, peer_limits lim, common::counters& c)
        : handler(h), limits(lim), counters(c), tasks(lim.max_queued_calls) {}

    void run(const net::endpoint& listen, std::promise<std::uint16_t>& bound);
    void serve(peer_loop& loop);
    void wake();

    // Queues a task for the peer thread. Returns false when the queue is full or the node
    // has stopped.
    [[nodiscard]] bool push(loop_task task) {
        if (!tasks.try_push(std::move(task))) {
            counters.get("refusals_total", "reason", "peer_ring_full").add();
            return false;
        }
        wake();
        return true;
    }

    peer_handler& handler;
    peer_limits limits;
    common::counters& counters;
    common::bounded_queue<loop_task> tasks;
    std::mutex wake_mutex;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake_fulfiller;
    std::atomic<bool> stopping{false};
    template <typename Result, typename Send, typename Complete>
    [[nodiscard]] bool call(const net::endpoint& to, Send send, Complete complete) {
        return push([to, send = std::move(send), complete = std::move(complete),
                     timeout = limits.call_timeout](peer_loop& loop) {
            loop.call<Result>(to, timeout, send, complete);
        });
    }

    std::uint16_t port = 0;
    std::thread thread;
};

void peer_node::state::wake() {
    const std::lock_guard lock(wake_mutex);
    if (wake_fulfiller) {
        wake_fulfiller->fulfill();
    }
}

void peer_node::state::run(const net::endpoint& listen, std::promise<std::uint16_t>& bound) {
    peer_loop loop(handler, limits, counters);
    try {
        bound.set_value(loop.listen(listen));
    } catch (const kj::Exception& e) {
        bound.set_exception(std::make_exception_ptr(net::net_error(
            "cannot listen on " + net::to_string(listen) + ": " + e.getDescription().cStr())));
        return;
    }
    serve(loop);
}

void peer_node::state::serve(peer_loop& loop) {
    while (!stopping) {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            const std::lock_guard lock(wake_mutex);
            wake_fulfiller = kj::mv(pair.fulfiller);
        }
        // Also runs tasks that were pushed before the new fulfiller was in place.
        for (auto& task : tasks.pop_all(std::chrono::microseconds(0))) {
            task(loop);
        }
        if (!stopping) {
            pair.promise.wait(loop.wait_scope());
        }
        {
            // fulfill() may still use the promise after the wait has ended. Taking the lock makes
            // sure that wake() has returned from it before the promise is destroyed.
            const std::lock_guard lock(wake_mutex);
            wake_fulfiller = nullptr;
        }
        loop.destroy_closed();
    }
}

peer_node::peer_node(const net::endpoint& listen, peer_handler& handler, peer_limits limits,
                     common::counters& counters)
    : m_state(std::make_unique<state>(handler, limits, counters)) {
    std::promise<std::uint16_t> bound;
    auto port = bound.get_future();
    m_state->thread = std::thread([this, listen, &bound] { m_state->run(listen, bound); });
    try {
        m_state->port = port.get();
    } catch (const net::net_error&) {
        m_state->thread.join();
        throw;
    }
}

peer_node::~peer_node() {
    stop();
}

std::uint16_t peer_node::port() const {
    return m_state->port;
}

void peer_node::stop() {
    m_state->stopping = true;
    m_state->tasks.close();
    m_state->wake();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
}

void peer_node::send_heartbeat(const net::endpoint& to, heartbeat message,
                               const std::function<void(std::optional<heartbeat>)>& complete) {
    auto send = [message = std::move(message)](schema::Peer::Client client) {
        auto request = client.heartbeatRequest();
        encode(message, request.initBeat());
        return request.send().then([](auto response) { return decode(response.getReply()); });
    };
    if (!m_state->call<heartbeat>(to, std::move(send), optional_completion<heartbeat>{complete})) {
        complete(std::nullopt);
    }
}

void peer_node::call_job(const net::endpoint& to, job_call call,
                         const std::function<void(job_reply)>& complete) {
    const common::duration timeout = job_call_timeout(call, m_state->limits.call_timeout);
    auto send = [call = std::move(call)](schema::Peer::Client client) {
        return send_job_call(kj::mv(client), call);
    };
    const bool queued = m_state->push([to, send, complete, timeout](peer_loop& l) {
        l.call<job_reply>(to, timeout, send, job_completion{complete});
    });
    if (!queued) {
        job_completion{complete}.failed(false);
    }
}

void peer_node::config_since(const net::endpoint& to, sender from, std::uint64_t version,
                             const std::function<void(std::optional<config_records>)>& complete) {
    auto send = [from = std::move(from), version](schema::Peer::Client client) {
        auto request = client.configSinceRequest();
        encode(from, request.initSender());
        request.setVersion(version);
        return request.send().then([](auto response) {
            return config_records{decode(response.getRecords()), response.getInForce()};
        });
    };
    if (!m_state->call<config_records>(to, std::move(send),
                                       optional_completion<config_records>{complete})) {
        complete(std::nullopt);
    }
}

void peer_node::announce_config(const net::endpoint& to, sender from,
                                std::vector<config_record> records,
                                const std::function<void(std::optional<std::uint64_t>)>& complete) {
    auto send = [from = std::move(from),
                 records = std::move(records)](schema::Peer::Client client) {
        auto request = client.announceConfigRequest();
        encode(from, request.initSender());
        encode(records, request.initRecords(static_cast<unsigned>(records.size())));
        return request.send().then(
            [](auto response) -> std::uint64_t { return response.getInForce(); });
    };
    if (!m_state->call<std::uint64_t>(to, std::move(send),
                                      optional_completion<std::uint64_t>{complete})) {
        complete(std::nullopt);
    }
}

void peer_node::send_slot_demand(const net::endpoint& to, sender from, slot_demand demand) {
    auto send = [from = std::move(from), demand = std::move(demand)](schema::Peer::Client client) {
        auto request = client.slotDemandRequest();
        encode(from, request.initSender());
        encode(demand, request.initDemand());
        return request.send().then([](auto) { return true; });
    };
    (void)m_state->call<bool>(to, std::move(send), ignored_completion{});
}

void peer_node::send_slot_grant(const net::endpoint& to, sender from, slot_grant grant) {
    auto send = [from = std::move(from), grant = std::move(grant)](schema::Peer::Client client) {
        auto request = client.slotGrantRequest();
        encode(from, request.initSender());
        encode(grant, request.initGrant());
        return request.send().then([](auto) { return true; });
    };
    (void)m_state->call<bool>(to, std::move(send), ignored_completion{});
}

void peer_node::send_quota_messages(const net::endpoint& to, sender from,
                                    std::vector<quota_message> messages) {
    auto send = [from = std::move(from),
                 messages = std::move(messages)](schema::Peer::Client client) {
        auto request = client.quotaMessagesRequest();
        encode(from, request.initSender());
        encode(messages, request.initMessages(static_cast<unsigned>(messages.size())));
        return request.send().then([](auto) { return true; });
    };
    (void)m_state->call<bool>(to, std::move(send), ignored_completion{});
}

} // namespace buckthornspar::peer
