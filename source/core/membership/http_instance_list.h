#pragma once

#include "core/membership/instance_list.h"
#include "core/membership/instance_list_factory.h"
#include "core/net/http_client.h"

#include <atomic>

namespace buckthornspar::membership {

/// Adapter "http": GET /v1/instances of docs/platform-contract.md.
class http_instance_list final : public instance_list {
public:
    explicit http_instance_list(const instance_list_context& context);

    /// Completes on the thread of the loop.
    void fetch(instance_completion complete) override;

private:
    [[nodiscard]] std::optional<instance_snapshot> read(const net::http_result& result);

    common::counters& m_counters;
    net::endpoint m_address;
    common::duration m_timeout;
    net::http_client m_client;
    /// The last good list, which a 304 answer confirms. Used on the loop's thread only.
    std::optional<instance_snapshot> m_last;
    std::atomic<std::uint64_t> m_known_index{0};
};

} // namespace buckthornspar::membership
