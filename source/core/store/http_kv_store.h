#pragma once

#include "core/net/http_client.h"
#include "core/store/kv_store.h"
#include "core/store/kv_store_factory.h"

#include <string>
#include <string_view>

namespace buckthornspar::store {

/// Adapter "http": client of the Consul KV HTTP API, limited to the subset in
/// docs/platform-contract.md. A failed write completes with kv_status::unavailable only if no byte
/// of the request can have reached the store, and with kv_status::unknown otherwise. A failed read
/// completes with kv_status::unavailable.
class http_kv_store final : public kv_store {
public:
    explicit http_kv_store(const kv_store_context& context);

    /// Calls the completion handler on the event loop thread.
    void submit(kv_request request, kv_completion complete) override;

private:
    [[nodiscard]] kv_response record_failure(kv_operation operation, std::string_view kind) const;
    [[nodiscard]] kv_response to_response(kv_operation operation, const net::http_result& result);
    [[nodiscard]] kv_response parse_response(kv_operation operation,
                                             const net::http_response& response) const;

    common::counters& m_counters;
    net::endpoint m_address;
    common::duration m_timeout;
    net::http_client m_client;
};

} // namespace buckthornspar::store
