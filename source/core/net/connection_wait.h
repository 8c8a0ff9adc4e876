#pragma once

#include "core/common/clock.h"

namespace buckthornspar::net {

/// What a request does while all connections to its endpoint are in use.
struct connection_wait {
    /// How long it waits for a connection; 0: it fails at once with pool_exhausted. The timeout of
    /// the request begins when it has got one.
    common::duration longest{0};
    /// It waits before all requests without this flag.
    bool first = false;
};

} // namespace buckthornspar::net
