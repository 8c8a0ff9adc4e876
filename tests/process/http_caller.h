#pragma once

#include "core/net/event_loop.h"
#include "core/net/http_client.h"

#include <boost/json/fwd.hpp>

#include <chrono>
#include <future>
#include <string>

namespace buckthornspar::process_test {

/// Response to a call; the status is 0 if there was none.
struct call_result {
    unsigned status = 0;
    std::string body;
    net::http_fields fields;
    std::string failure;
    bool request_sent = true;

    /// Body as JSON; null if it is not valid JSON.
    [[nodiscard]] boost::json::value json() const;
    /// Member of the body as text, for example "state" or "error.type"; empty if absent.
    [[nodiscard]] std::string text(const std::string& path) const;
};

/// HTTP client for tests. Thread-safe.
class http_caller {
public:
    http_caller();
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    call_result call(const net::endpoint& to, net::http_request request,
                     std::chrono::milliseconds timeout = std::chrono::seconds(10));
    std::future<call_result> call_later(const net::endpoint& to, net::http_request request,
                                        std::chrono::milliseconds timeout);
    call_result get(const net::endpoint& to, const std::string& target);
    call_result post(const net::endpoint& to, const std::string& target, const std::string& body);
    call_result put(const net::endpoint& to, const std::string& target, const std::string& body);
    call_result del(const net::endpoint& to, const std::string& target);

private:
    call_result send(net::http_method method, const net::endpoint& to, const std::string& target,
                     const std::string& body);

    net::event_loop m_loop;
    net::http_client m_client;
};

} // namespace buckthornspar::process_test
