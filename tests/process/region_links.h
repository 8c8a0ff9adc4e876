#pragma once

#include "core/net/endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace buckthornspar::process_test {

class http_caller;

/// Payload bytes forwarded by relays, summed over both directions.
struct link_bytes {
    std::int64_t to_store = 0;
    std::int64_t between_processes = 0;
};

/// Client for the control API of the link stand-in, which runs the relays over which processes of
/// one region reach those of another.
class region_links {
public:
    region_links(http_caller& http, net::endpoint admin)
        : m_http(http), m_admin(std::move(admin)) {}

    /// Address at which region `from` reaches the target in region `to`. Creates the relay at the
    /// first call.
    net::endpoint relay(const std::string& from, const std::string& to,
                        const net::endpoint& target);

    // Set the state of all relays from or to the region; without a region, of all relays. The state
    // has taken effect when the function returns.
    void cut(const std::string& region = "") { set_state("cut", region); }
    void silence(const std::string& region = "") { set_state("silent", region); }
    void heal(const std::string& region = "") { set_state("open", region); }

    [[nodiscard]] link_bytes bytes(const net::endpoint& store);

private:
    void set_state(const std::string& state, const std::string& region);

    http_caller& m_http;
    net::endpoint m_admin;
    std::map<std::tuple<std::string, std::string, net::endpoint>, net::endpoint> m_relays;
};

} // namespace buckthornspar::process_test
