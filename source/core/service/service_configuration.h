#pragma once

#include "core/customers/customer_directory.h"
#include "core/dispatch/job.h"
#include "core/service/caller_limits.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornspar::service {

/// A queue with the host and path prefix under which callers reach it.
struct queue_route {
    dispatch::queue_settings queue;
    std::string host;
    std::string prefix;
    /// Calls need no key.
    bool open = true;
};

/// The part of the operators' configuration that concerns jobs.
struct service_configuration {
    std::uint64_t version = 0;
    std::vector<queue_route> routes;
    customers::customer_directory customers;
    caller_limits limits;

    /// The route of the host with the longest matching path prefix; nullptr when there is none.
    [[nodiscard]] const queue_route* find_route(std::string_view host, std::string_view path) const;
    [[nodiscard]] std::vector<dispatch::queue_settings> queues() const;
};

} // namespace buckthornspar::service
