#include "process/http_caller.h"

#include <boost/json.hpp>

#include <memory>
#include <sstream>
#include <utility>

namespace buckthornspar::process_test {

namespace json = boost::json;

namespace {

call_result to_call_result(net::http_result result) {
    call_result converted;
    if (auto* const response = std::get_if<net::http_response>(&result)) {
        converted.status = response->status;
        converted.body = std::move(response->body);
        converted.fields = std::move(response->fields);
        return converted;
    }
    const auto& failure = std::get<net::http_failure>(result);
    converted.failure = to_string(failure.kind);
    converted.request_sent = failure.request_sent;
    return converted;
}

} // namespace

json::value call_result::json() const {
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    return error ? json::value(nullptr) : value;
}

std::string call_result::text(const std::string& path) const {
    json::value value = json();
    std::istringstream parts(path);
    std::string part;
    while (std::getline(parts, part, '.')) {
        const auto* const object = value.if_object();
        const auto* const member = object == nullptr ? nullptr : object->if_contains(part);
        if (member == nullptr) {
            return {};
        }
        json::value next = *member;
        value = std::move(next);
    }
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

http_caller::http_caller() : m_client(m_loop, {.max_connections_per_endpoint = 512}) {
    m_loop.start();
}

http_caller::~http_caller() {
    m_loop.stop();
}

call_result http_caller::call(const net::endpoint& to, net::http_request request,
                              std::chrono::milliseconds timeout) {
    return call_later(to, std::move(request), timeout).get();
}

std::future<call_result> http_caller::call_later(const net::endpoint& to, net::http_request request,
                                                 std::chrono::milliseconds timeout) {
    const auto promise = std::make_shared<std::promise<call_result>>();
    auto future = promise->get_future();
    m_client.send(to, std::move(request), timeout, [promise](net::http_result result) {
        promise->set_value(to_call_result(std::move(result)));
    });
    return future;
}

call_result http_caller::get(const net::endpoint& to, const std::string& target) {
    return send(net::http_method::get, to, target, "");
}

call_result http_caller::post(const net::endpoint& to, const std::string& target,
                              const std::string& body) {
    return send(net::http_method::post, to, target, body);
}

call_result http_caller::put(const net::endpoint& to, const std::string& target,
                             const std::string& body) {
    return send(net::http_method::put, to, target, body);
}

call_result http_caller::del(const net::endpoint& to, const std::string& target) {
    return send(net::http_method::del, to, target, "");
}

call_result http_caller::send(net::http_method method, const net::endpoint& to,
                              const std::string& target, const std::string& body) {
    net::http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (!body.empty()) {
        request.fields.set("Content-Type", "application/json");
    }
    return call(to, std::move(request));
}

} // namespace buckthornspar::process_test
