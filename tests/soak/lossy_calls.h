#pragma once

#include "core/common/rng.h"
#include "core/net/http_server.h"

#include <functional>

namespace buckthornspar::net {
class event_loop;
}

namespace buckthornspar::soak {

/// Loses a share of the calls to a stand-in: the request is lost, or the response is lost, or the
/// call gets no response and is executed seconds later.
class lossy_calls {
public:
    using call = std::function<void(const net::http_reply&)>;

    lossy_calls(net::event_loop& loop, std::uint64_t seed) : m_loop(loop), m_rng(seed) {}

    /// Share of the calls that are lost, from 0 to 1.
    void set_share(double share) { m_share = share; }

    void execute(const net::http_reply& reply, const call& serve);

private:
    net::event_loop& m_loop;
    common::rng m_rng;
    double m_share = 0.0;
};

} // namespace buckthornspar::soak
