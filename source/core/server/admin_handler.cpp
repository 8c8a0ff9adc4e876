#include "core/server/admin_handler.h"

#include "core/common/counters.h"
#include "core/server/server_application.h"

#include <utility>

namespace buckthornspar::server {

namespace {

net::http_response text_response(unsigned status, std::string body) {
    net::http_response response;
    response.status = status;
    response.fields.set("Content-Type", "text/plain; version=0.0.4");
    response.body = std::move(body);
    return response;
}

} // namespace

admin_handler::admin_handler(server_application& application, common::counters& counters)
    : m_application(application), m_counters(counters) {}

void admin_handler::handle(net::http_request request, net::http_reply reply) {
    const auto path = request.path();
    if (path == "/metrics") {
        reply(text_response(200, m_counters.render()));
        return;
    }
    if (path == "/healthz") {
        reply(text_response(200, "ok\n"));
        return;
    }
    if (path == "/readyz") {
        reply(readiness());
        return;
    }
    if (path == "/v1/drain") {
        reply(drain(request.method));
        return;
    }
    m_application.handle(std::move(request), std::move(reply));
}

net::http_response admin_handler::readiness() const {
    if (m_draining) {
        return net::error_response(503, "draining", "the process is draining");
    }
    if (const auto reason = m_application.not_ready_reason()) {
        return net::error_response(503, "not_ready", *reason);
    }
    return text_response(200, "ready\n");
}

net::http_response admin_handler::drain(net::http_method method) {
    if (method != net::http_method::post) {
        return net::error_response(405, "method_not_allowed", "use POST");
    }
    set_draining();
    m_application.begin_drain();
    return net::json_response(202, R"({"state":"draining"})");
}

} // namespace buckthornspar::server
