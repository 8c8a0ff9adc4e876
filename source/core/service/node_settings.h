#pragma once

#include "core/common/clock.h"
#include "core/net/endpoint.h"
#include "core/net/request_settings.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace buckthornspar::common {
class settings_section;
}

namespace buckthornspar::service {

/// Settings of buckthornspar-node; see docs/OPERATIONS.md.
struct node_settings {
    std::string id;
    std::string data_centre;
    std::string log_level;
    std::string adapter;
    net::endpoint callers;
    net::endpoint readiness;
    /// Address for requests of other nodes; also serves the metrics.
    net::endpoint peers;
    net::endpoint store;
    /// Address of the advice service; port 0 when no queue needs tickets.
    net::endpoint advice;
    /// Maximum lease of a run on a worker.
    common::duration lease{};
    /// Time limit of a planned stop.
    common::duration stop_grace{};
    /// Time for which the state of an ended job is kept.
    common::duration state_retention{};
    /// Longest time after the acknowledgement of a cancellation, or of a worker's report that it is
    /// draining, at which a worker may still begin a start of that job or on that worker.
    common::duration cancel_bound{};
    common::duration drain_bound{};
    /// Shortest lease that the store grants.
    common::duration min_store_lease{};
    /// Limits of requests, with the memory and the descriptors of the process.
    net::request_settings requests;
    /// Largest value of a key of the store.
    std::size_t max_store_value_bytes = 0;
    std::string order;
    /// What the owner learns of runs for its decisions.
    bool learn_speeds = true;
    bool learn_interference = true;
    /// Processor time available to the process, in cores.
    double cpu_share = 1.0;
    /// Capacity of the instance's network link in megabits per second; 0 when unknown.
    double link_mbps = 0.0;
};

/// Throws common::settings_error.
[[nodiscard]] node_settings read_node_settings(common::settings_section& settings);

} // namespace buckthornspar::service
