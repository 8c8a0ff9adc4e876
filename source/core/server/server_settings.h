#pragma once

#include "core/common/clock.h"
#include "core/net/endpoint.h"
#include "core/net/request_settings.h"

#include <cstddef>
#include <string>
#include <vector>

namespace buckthornspar::common {
class settings_section;
}

namespace buckthornspar::server {

/// A shard: the workers of one or more places of one region.
struct shard_settings {
    std::string id;
    std::string region;
    std::vector<std::string> places;
};

/// Adapter plug-in and address of an external system.
struct adapter_settings {
    std::string adapter;
    net::endpoint address;
};

/// Settings common to all server programs, described in docs/OPERATIONS.md.
struct server_settings {
    std::string id;
    std::string region;
    std::string place;
    std::string log_level;
    net::endpoint listen;
    net::endpoint peer_listen;
    adapter_settings store;
    adapter_settings instances;
    common::duration instance_poll_period{};
    common::duration heartbeat_period{};
    /// Time from the first "not ready" response until new work is refused.
    common::duration drain_grace{};
    /// Time limit for finishing work in progress during a shutdown.
    common::duration drain_timeout{};
    net::request_settings requests;
    std::vector<shard_settings> shards;
};

/// Reads the common settings; the caller reads those of its role and calls finish(). Throws
/// settings_error.
[[nodiscard]] server_settings read_server_settings(common::settings_section& settings);

} // namespace buckthornspar::server
