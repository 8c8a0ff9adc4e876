#include "core/store/http_kv_store.h"

#include "core/common/counters.h"
#include "core/common/error.h"
#include "core/common/name_table.h"
#include "core/store/consul_format.h"

#include <charconv>
#include <memory>
#include <utility>

namespace buckthornspar::store {

namespace {

constexpr common::name_table<kv_operation, 5> operation_names{
    "store operation", {"get", "list", "watch", "put_if", "delete_if"}};

/// The store extends the wait of a blocking query by up to 1/16 of it.
constexpr int watch_wait_jitter_divisor = 16;

bool is_write(kv_operation operation) {
    return operation == kv_operation::put_if || operation == kv_operation::delete_if;
}

std::uint64_t read_index(const net::http_response& response) {
    const std::string_view text = response.fields.get("X-Consul-Index");
    std::uint64_t index = 0;
    std::from_chars(text.data(), text.data() + text.size(), index);
    return index;
}

/// The response body of a conditional write is true or false, optionally followed by a newline.
kv_response parse_write_response(const net::http_response& response) {
    std::string_view text = response.body;
    text = text.substr(0, text.find_last_not_of(" \r\n") + 1);
    if (text == "true") {
        return {kv_status::ok, {}, 0};
    }
    if (text == "false") {
        return {kv_status::conflict, {}, 0};
    }
    throw common::format_error("write response is neither true nor false");
}

kv_response parse_read_response(kv_operation operation, const net::http_response& response) {
    const std::uint64_t index = read_index(response);
    if (response.status == 404) {
        const bool is_list = operation == kv_operation::list;
        return {is_list ? kv_status::ok : kv_status::not_found, {}, index};
    }
    return {kv_status::ok, read_consul_entries(response.body), index};
}

const kv_store_registration registration("http", [](const kv_store_context& context) {
    return std::make_unique<http_kv_store>(context);
});

} // namespace

http_kv_store::http_kv_store(const kv_store_context& context)
    : m_counters(context.counters),
      m_address(context.address),
      m_timeout(context.timeout),
      m_client(context.loop, {}) {}

void http_kv_store::submit(kv_request request, kv_completion complete) {
    const kv_operation operation = request.operation;
    m_counters.get("store_calls_total", "op", operation_names.name(operation)).add();
    const common::duration wait =
        request.max_wait + request.max_wait / watch_wait_jitter_divisor + m_timeout;
    m_client.send(m_address, to_consul_request(request), wait,
                  [this, operation, complete = std::move(complete)](const net::http_result& r) {
                      complete(to_response(operation, r));
                  });
}

kv_response http_kv_store::record_failure(kv_operation operation, std::string_view kind) const {
    m_counters.get("store_errors_total", "kind", kind).add();
    return {is_write(operation) ? kv_status::unknown : kv_status::unavailable, {}, 0};
}

kv_response http_kv_store::to_response(kv_operation operation, const net::http_result& result) {
    if (const auto* const failure = std::get_if<net::http_failure>(&result)) {
        if (failure->kind == net::http_failure_kind::timed_out) {
            // Pooled connections may be dead while new ones would work.
            m_client.close_idle(m_address);
        }
        kv_response response = record_failure(operation, net::to_string(failure->kind));
        if (!failure->request_sent) {
            response.status = kv_status::unavailable;
        }
        return response;
    }
    return parse_response(operation, std::get<net::http_response>(result));
}

kv_response http_kv_store::parse_response(kv_operation operation,
                                          const net::http_response& response) const {
    const bool is_absent = response.status == 404 && !is_write(operation);
    if (response.status != 200 && !is_absent) {
        // A write may have taken effect even if the response is an error.
        return record_failure(operation, "status_" + std::to_string(response.status));
    }
    try {
        return is_write(operation) ? parse_write_response(response)
                                   : parse_read_response(operation, response);
    } catch (const common::format_error&) {
        return record_failure(operation, "bad_answer");
    }
}

} // namespace buckthornspar::store
