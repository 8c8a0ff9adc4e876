#pragma once

#include "core/dispatch/shared_store.h"
#include "core/net/http_client.h"
#include "core/net/http_server.h"
#include "core/service/store_health.h"

#include <functional>
#include <optional>
#include <string>

namespace buckthornspar::service {

/// Relays reads and commits through another node, for a node that cannot reach the store while
/// others can.
class store_relay final {
public:
    /// Returns the address of a node that can relay; empty when there is none.
    using peer_source = std::function<std::optional<net::endpoint>()>;

    store_relay(net::http_client& client, dispatch::shared_store& store, const store_health& health,
                peer_source peer)
        : m_client(client), m_store(store), m_health(health), m_peer(std::move(peer)) {}

    [[nodiscard]] bool available() const { return m_peer().has_value(); }
    void read(const std::string& key, dispatch::store_completion complete);
    void commit(const dispatch::store_commit& change, dispatch::store_completion complete);

    /// Executes the request of another node. Throws if the request cannot be parsed.
    void serve(const net::http_request& request, net::http_reply reply);

private:
    void send(std::string body, dispatch::store_completion complete);

    net::http_client& m_client;
    dispatch::shared_store& m_store;
    const store_health& m_health;
    peer_source m_peer;
};

} // namespace buckthornspar::service
