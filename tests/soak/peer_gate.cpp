#include "soak/peer_gate.h"

#include "core/net/http_client.h"
#include "soak/link_board.h"

#include <utility>

namespace buckthornspar::soak {

namespace {

/// Longer than any call between nodes waits for a change.
constexpr auto forward_timeout = std::chrono::seconds(60);

void replace_all(std::string& text, const std::string& from, const std::string& to) {
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

// The client sets the fields of the connection itself.
bool is_forwarded(const std::string& name) {
    return name != "Host" && name != "Content-Length" && name != "Connection" &&
           name != "Transfer-Encoding";
}

net::http_request forwarded(const net::http_request& request, std::string body) {
    net::http_request result;
    result.method = request.method;
    result.target = request.target;
    result.body = std::move(body);
    for (const auto& [name, value] : request.fields.all()) {
        if (is_forwarded(name)) {
            result.fields.set(name, value);
        }
    }
    return result;
}

} // namespace

void peer_addresses::set_own(const std::string& node, const net::endpoint& own) {
    m_own[node] = own;
}

void peer_addresses::set_link(const std::string& from, const std::string& to,
                              const net::endpoint& link) {
    m_links[{from, to}] = link;
}

std::string peer_addresses::translate(const std::string& reader, std::string text) const {
    for (const auto& [node, own] : m_own) {
        if (node != reader) {
            replace_all(text, net::to_string(own), net::to_string(m_links.at({reader, node})));
        }
    }
    return text;
}

peer_gate::peer_gate(net::http_client& client, link_board& links, const peer_addresses& addresses,
                     std::string from, std::string to)
    : m_client(client),
      m_links(links),
      m_addresses(addresses),
      m_from(std::move(from)),
      m_to(std::move(to)) {}

void peer_gate::handle(net::http_request request, net::http_reply reply) {
    if (m_links.is_cut(m_from, m_to)) {
        m_links.hold(m_from, m_to, std::move(reply));
        return;
    }
    auto body = m_addresses.translate(m_to, request.body);
    m_client.send(
        m_addresses.own(m_to), forwarded(request, std::move(body)), forward_timeout,
        [answer = m_links.guard(m_from, m_to, std::move(reply))](net::http_result result) {
            // Without a response, the reply is destroyed, which closes the connection.
            if (auto* const response = std::get_if<net::http_response>(&result)) {
                answer(net::json_response(response->status, response->body));
            }
        });
}

} // namespace buckthornspar::soak
