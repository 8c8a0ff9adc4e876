#pragma once

#include "core/membership/instance_list.h"
#include "core/membership/instance_list_factory.h"
#include "core/net/http_client.h"

#include <atomic>

namespace buckthornspar::membership {

/// Adapter "http": client of GET /v1/instances; see docs/platform-contract.md.
class http_instance_list final : public instance_list {
public:
    explicit http_instance_list(const instance_list_context& context);

    /// Calls the completion handler on the event loop thread.
    void fetch(instance_completion complete) override;

private:
    [[nodiscard]] std::optional<instance_snapshot> read(const net::http_result& result);
    void keep_missing_instances(instance_snapshot& snapshot) const;

    common::counters& m_counters;
    net::endpoint m_address;
    common::duration m_timeout;
    net::http_client m_client;
    /// The last valid list, returned again on a 304 response. Accessed only on the event loop
    /// thread.
    std::optional<instance_snapshot> m_last;
    std::atomic<std::uint64_t> m_known_index{0};
};

} // namespace buckthornspar::membership
