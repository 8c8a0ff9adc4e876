#pragma once

#include "core/net/endpoint.h"
#include "core/net/http_server.h"

#include <map>
#include <string>

namespace buckthornspar::net {
class event_loop;
class http_client;
} // namespace buckthornspar::net

namespace buckthornspar::soak {

class link_board;

/// Addresses by which each node reaches the peer port of each other node.
class peer_addresses {
public:
    void set_own(const std::string& node, const net::endpoint& own);
    void set_link(const std::string& from, const std::string& to, const net::endpoint& link);

    /// Replaces the own address of each other node by the one that the reader reaches it by.
    [[nodiscard]] std::string translate(const std::string& reader, std::string text) const;
    [[nodiscard]] net::endpoint own(const std::string& node) const { return m_own.at(node); }

private:
    std::map<std::string, net::endpoint> m_own;
    std::map<std::pair<std::string, std::string>, net::endpoint> m_links;
};

/// Forwards the calls of one node to the peer port of another. Addresses in the calls are
/// translated for the receiver.
class peer_gate final : public net::http_handler {
public:
    peer_gate(net::http_client& client, link_board& links, const peer_addresses& addresses,
              std::string from, std::string to);

    void handle(net::http_request request, net::http_reply reply) override;

private:
    net::http_client& m_client;
    link_board& m_links;
    const peer_addresses& m_addresses;
    std::string m_from;
    std::string m_to;
};

} // namespace buckthornspar::soak
