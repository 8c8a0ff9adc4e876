#include "core/scheduling/http_worker_client.h"

#include "core/common/error.h"
#include "core/scheduling/worker_codec.h"

#include <utility>

namespace buckthornspar::scheduling {

namespace {

constexpr unsigned http_ok = 200;
constexpr unsigned http_conflict = 409;
constexpr unsigned http_gone = 410;

worker_error from_failure(const net::http_failure& failure) {
    return {failure.request_sent ? worker_error_kind::no_answer : worker_error_kind::not_sent, 0};
}

template <typename Response>
std::variant<Response, worker_error> interpret(const net::http_result& result,
                                               Response (*read)(std::string_view)) {
    if (const auto* const failure = std::get_if<net::http_failure>(&result)) {
        return from_failure(*failure);
    }
    const auto& response = std::get<net::http_response>(result);
    if (response.status == http_conflict || response.status == http_gone) {
        return read_rejection(response.body);
    }
    if (response.status != http_ok) {
        return worker_error{worker_error_kind::bad_answer, 0};
    }
    try {
        return read(response.body);
    } catch (const common::error&) {
        return worker_error{worker_error_kind::bad_answer, 0};
    }
}

net::http_request post(std::string target, std::string body) {
    net::http_request request;
    request.method = net::http_method::post;
    request.target = std::move(target);
    request.fields.set("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

} // namespace

void http_worker_client::adopt(const net::endpoint& worker, const adopt_request& request,
                               std::function<void(adopt_result)> complete) {
    m_client.send(worker, post("/v1/adopt", to_json(request)), m_timeout,
                  [done = std::move(complete)](const net::http_result& result) {
                      done(interpret<worker_inventory>(result, read_inventory));
                  });
}

void http_worker_client::sync(const net::endpoint& worker, const sync_request& request,
                              std::function<void(sync_result)> complete) {
    m_client.send(worker, post("/v1/sync", to_json(request)), m_timeout,
                  [done = std::move(complete)](const net::http_result& result) {
                      done(interpret<sync_response>(result, read_sync_response));
                  });
}

void http_worker_client::events(const net::endpoint& worker, std::uint64_t after,
                                common::duration max_wait,
                                std::function<void(events_result)> complete) {
    const auto wait_ms = common::to_milliseconds(max_wait);
    net::http_request request;
    request.target =
        "/v1/events?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait_ms);
    m_client.send(worker, std::move(request), max_wait + m_timeout,
                  [done = std::move(complete)](const net::http_result& result) {
                      done(interpret<events_response>(result, read_events_response));
                  });
}

} // namespace buckthornspar::scheduling
