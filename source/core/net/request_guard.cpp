#include "core/net/request_guard.h"

#include <algorithm>

#include <sys/resource.h>

namespace buckthornspar::net {

namespace {

constexpr std::size_t usual_message_memory = std::size_t{32} << 20U;
// The buffer of a chunked body doubles as it grows, and its former half is copied.
constexpr std::size_t bytes_per_body_byte = 3;
constexpr std::size_t message_overhead = std::size_t{256} << 10U;
// Of the descriptors of an instance, those that the platform keeps for files.
constexpr std::int64_t file_fds = 200;
constexpr std::size_t min_connections = 16;

std::size_t system_descriptors() {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace

std::size_t message_memory(const process_resources& resources) {
    const auto share = static_cast<std::size_t>(static_cast<double>(resources.memory) *
                                                resources.message_memory_share);
    // One request of the largest size is served, whatever the share.
    return std::max(resources.memory > 0 ? share : usual_message_memory,
                    resources.max_body_bytes * bytes_per_body_byte + message_overhead);
}

std::size_t accepted_connections(const process_resources& resources, std::size_t system_limit) {
    if (resources.max_connections > 0) {
        return static_cast<std::size_t>(resources.max_connections);
    }
    std::size_t sockets = system_limit;
    if (resources.max_fds > 0) {
        sockets = std::min(sockets, static_cast<std::size_t>(
                                        std::max<std::int64_t>(0, resources.max_fds - file_fds)));
    }
    // The rest is for connections to peers, the store and workers.
    return std::max(min_connections, sockets - sockets / 3);
}

std::shared_ptr<request_guard> make_request_guard(const process_resources& resources,
                                                  common::counters& counters) {
    return std::make_shared<request_guard>(
        message_memory(resources), accepted_connections(resources, system_descriptors()), counters);
}

} // namespace buckthornspar::net
