#pragma once

#include "core/net/http_server.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::soak {

/// Links between the processes of a soak, by the names of both ends. Cuts are counted, so that
/// overlapping faults can cut the same link. A call over a cut link gets no response. All functions
/// run on the loop's thread.
class link_board {
public:
    void cut(const std::string& one, const std::string& other);
    /// Takes back one cut. When none is left, the connections of the calls that got no response are
    /// closed.
    void restore(const std::string& one, const std::string& other);
    [[nodiscard]] bool is_cut(const std::string& one, const std::string& other) const;

    /// Reply that is held back when the link is cut at the time of the response.
    [[nodiscard]] net::http_reply guard(const std::string& one, const std::string& other,
                                        net::http_reply reply);
    /// Keeps the connection of a call open without a response until the link is restored.
    void hold(const std::string& one, const std::string& other, net::http_reply reply);

private:
    struct link_state {
        int cuts = 0;
        std::vector<net::http_reply> held;
    };
    using link_name = std::pair<std::string, std::string>;

    [[nodiscard]] static link_name name_of(const std::string& one, const std::string& other);

    std::map<link_name, link_state> m_links;
};

} // namespace buckthornspar::soak
