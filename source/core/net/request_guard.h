#pragma once

#include "core/net/refusal_log.h"
#include "core/net/request_budget.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace buckthornspar::net {

/// What all servers and clients of a process share to stay within its memory and descriptors.
struct request_guard {
    request_guard(std::size_t bytes, std::size_t max_connections, common::counters& counters)
        : budget(bytes, max_connections), refusals(counters) {}

    request_budget budget;
    refusal_log refusals;
};

/// Resources of the process, as its settings have them.
struct process_resources {
    /// Bytes; 0 when unknown.
    std::int64_t memory = 0;
    /// Part of the memory for unfinished requests and unread responses.
    double message_memory_share = 0.0;
    /// Number of descriptors; 0 when unknown. The limit of the operating system applies as well.
    std::int64_t max_fds = 0;
    /// Accepted connections of all servers together; 0: two thirds of the descriptors.
    std::int64_t max_connections = 0;
    std::size_t max_body_bytes = 0;
};

/// Bytes for the messages of the process.
[[nodiscard]] std::size_t message_memory(const process_resources& resources);

/// Number of connections that the servers of the process accept together. system_limit is the
/// limit of descriptors of the operating system.
[[nodiscard]] std::size_t accepted_connections(const process_resources& resources,
                                               std::size_t system_limit);

[[nodiscard]] std::shared_ptr<request_guard> make_request_guard(const process_resources& resources,
                                                                common::counters& counters);

} // namespace buckthornspar::net
