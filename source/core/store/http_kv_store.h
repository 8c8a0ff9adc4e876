#pragma once

#include "core/net/http_client.h"
#include "core/store/kv_store.h"
#include "core/store/kv_store_factory.h"

#include <string>
#include <string_view>

namespace buckthornspar::store {

/// Adapter "http": the Consul KV HTTP API, in the subset of docs/platform-contract.md.
/// A write is unavailable only when no byte of it can have reached the store; every other failure
/// of a write is unknown. A read without an answer is unavailable.
class http_kv_store final : public kv_store {
public:
    explicit http_kv_store(const kv_store_context& context);

    /// Completes on the thread of the loop.
    void submit(kv_request request, kv_completion complete) override;

private:
    [[nodiscard]] kv_response failed(kv_operation operation, std::string_view kind) const;
    [[nodiscard]] kv_response to_response(kv_operation operation, const net::http_result& result);
    [[nodiscard]] kv_response read_answer(kv_operation operation,
                                          const net::http_response& response) const;

    common::counters& m_counters;
    net::endpoint m_address;
    common::duration m_timeout;
    net::http_client m_client;
};

} // namespace buckthornspar::store
