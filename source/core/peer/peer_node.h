#pragma once

#include "core/common/clock.h"
#include "core/net/endpoint.h"
#include "core/peer/peer_messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace buckthornspar::common {
class counters;
}

namespace buckthornspar::peer {

class peer_handler;

struct peer_limits {
    common::duration connect_timeout = std::chrono::seconds(1);
    common::duration call_timeout = std::chrono::seconds(2);
    /// Limit of calls queued for the peer thread. Calls beyond it fail without being sent.
    std::size_t max_queued_calls = 8192;
    /// Connections of callers; further ones are closed.
    std::size_t max_accepted_connections = 512;
};

/// Client and server of the protocol between the processes of the system. One thread runs a KJ
/// event loop, serves incoming calls and keeps one connection to each peer that it calls. A
/// connection on which a call fails or times out is closed and replaced, because it may never
/// deliver data again. Completions run on the peer thread and must not block.
class peer_node {
public:
    /// Starts listening. Throws net::net_error when the address cannot be bound.
    peer_node(const net::endpoint& listen, peer_handler& handler, peer_limits limits,
              common::counters& counters);
    ~peer_node();
    peer_node(const peer_node&) = delete;
    peer_node& operator=(const peer_node&) = delete;

    [[nodiscard]] std::uint16_t port() const;

    /// Stops the thread. Completions of calls in progress are not called.
    void stop();

    // The functions below may be called from any thread. They complete with an empty optional when
    // no answer arrives.

    void send_heartbeat(const net::endpoint& to, heartbeat message,
                        const std::function<void(std::optional<heartbeat>)>& complete);

    /// Failed calls complete with the status not_sent or no_answer. A submit call times out shortly
    /// after its own deadline; other calls time out after the call timeout, or shortly after their
    /// deadline when that is earlier.
    void call_job(const net::endpoint& to, job_call call,
                  const std::function<void(job_reply)>& complete);

    void config_since(const net::endpoint& to, sender from, std::uint64_t version,
                      const std::function<void(std::optional<config_records>)>& complete);

    void announce_config(const net::endpoint& to, sender from, std::vector<config_record> records,
                         const std::function<void(std::optional<std::uint64_t>)>& complete);

    // One-way messages. Loss is not detected here; the caller decides when to send again.
    void send_slot_demand(const net::endpoint& to, sender from, slot_demand demand);
    void send_slot_grant(const net::endpoint& to, sender from, slot_grant grant);
    void send_quota_messages(const net::endpoint& to, sender from,
                             std::vector<quota_message> messages);

    struct state;

private:
    std::unique_ptr<state> m_state;
};

} // namespace buckthornspar::peer
