#include "core/routing/http_runner_client.h"

#include "core/common/error.h"

#include <boost/json.hpp>

#include <charconv>
#include <utility>

namespace buckthornspar::routing {

namespace {

using net::http_failure;
using net::http_response;

constexpr unsigned ok = 200;
constexpr unsigned not_found = 404;
constexpr unsigned unavailable = 503;

net::http_client_limits run_limits(const http_runner_settings& settings) {
    net::http_client_limits limits;
    limits.max_connections_per_endpoint = settings.max_connections_per_runner;
    limits.connect_timeout = settings.connect_timeout;
    return limits;
}

net::http_client_limits query_limits(const http_runner_settings& settings) {
    net::http_client_limits limits = run_limits(settings);
    limits.idle_timeout = duration(0);
    return limits;
}

// Numbers that exceed the range of the type count as absent.
std::optional<std::uint32_t> number(const http_response& response, std::string_view field) {
    const std::string_view text = response.fields.get(field);
    std::uint32_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

runner_report report_of(const http_response& response) {
    runner_report report{number(response, "X-Slots"), number(response, "X-Slots-Free"),
                         std::string(response.fields.get("X-Incarnation")), std::nullopt};
    if (const auto uptime = number(response, "X-Uptime-Ms")) {
        report.uptime = std::chrono::milliseconds(*uptime);
    }
    return report;
}

run_result lost_or_not_sent(call_token token, const http_failure& failure) {
    run_result result;
    result.token = token;
    result.kind = failure.request_sent ? run_result_kind::lost : run_result_kind::not_sent;
    result.unreachable =
        !failure.request_sent && failure.kind == net::http_failure_kind::connect_failed;
    return result;
}

run_result read_run(call_token token, http_response& response) {
    run_result result;
    result.token = token;
    result.request_id = response.fields.get("X-Request-Id");
    result.report = report_of(response);
    result.status = response.status;
    const std::string_view outcome = response.fields.get("X-Outcome");
    // A response without a valid outcome leaves the result as "lost", and the request is settled by
    // its id.
    if (outcome == to_string(run_outcome::ran)) {
        result.kind = run_result_kind::answered;
        result.content_type = response.fields.get("Content-Type");
        result.body = std::move(response.body);
    } else if (outcome == to_string(run_outcome::not_run) && response.status == unavailable) {
        try {
            result.refusal = runner_refusal_from(response.fields.get("X-Reason"));
            result.kind = run_result_kind::refused;
        } catch (const common::unknown_name_error&) {
            result.kind = run_result_kind::lost;
        }
    }
    return result;
}

std::optional<run_state> read_state(const std::string& body) {
    boost::system::error_code failure;
    const auto document = boost::json::parse(body, failure);
    const auto* object = failure ? nullptr : document.if_object();
    const auto* state = object != nullptr ? object->if_contains("state") : nullptr;
    if (state == nullptr || !state->is_string()) {
        return std::nullopt;
    }
    try {
        return run_state_from(std::string_view(state->get_string()));
    } catch (const common::unknown_name_error&) {
        return std::nullopt;
    }
}

query_result read_query(const query_call& call, http_response& response) {
    query_result result;
    result.token = call.token;
    result.request_id = response.fields.get("X-Request-Id", call.request_id);
    result.report = report_of(response);
    if (call.kind != query_kind::fetch) {
        if (response.status == ok) {
            result.state = read_state(response.body);
        }
        return result;
    }
    if (response.fields.get("X-Outcome") == to_string(run_outcome::ran)) {
        result.state = run_state::done;
        result.status = response.status;
        result.content_type = response.fields.get("Content-Type");
        result.body = std::move(response.body);
    } else if (response.status == not_found) {
        result.state = run_state::not_seen;
    }
    return result;
}

net::http_request query_request(const query_call& call) {
    net::http_request request;
    request.target = "/v1/run/" + net::percent_encode(call.request_id);
    switch (call.kind) {
    case query_kind::ask:
        break;
    case query_kind::cancel:
        request.method = net::http_method::del;
        break;
    case query_kind::fetch:
        request.target += "/answer";
        break;
    }
    return request;
}

std::string milliseconds(duration d) {
    // Rounded up, so that a request with less than a millisecond remaining is not sent as expired.
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(d).count());
}

} // namespace

http_runner_client::http_runner_client(net::event_loop& loop, http_runner_settings settings)
    : m_settings(std::move(settings)),
      m_runs(loop, run_limits(m_settings)),
      m_queries(loop, query_limits(m_settings)) {}

void http_runner_client::run(const run_call& call, std::function<void(run_result)> complete) {
    net::http_request request;
    request.method = net::http_method::post;
    request.target = "/v1/run/" + net::percent_encode(call.service);
    request.fields.set("X-Request-Id", call.request_id);
    request.fields.set("X-Deadline-Ms", milliseconds(call.remaining));
    request.fields.set("X-Attempt", std::to_string(call.attempt));
    request.fields.set("X-Idempotent", call.idempotent ? "true" : "false");
    request.fields.set("X-Origin", m_settings.entry_id);
    if (!call.content_type.empty()) {
        request.fields.set("Content-Type", call.content_type);
    }
    if (!call.expected_incarnation.empty()) {
        request.fields.set("X-Expect-Incarnation", call.expected_incarnation);
    }
    if (call.body) {
        request.body = *call.body;
    }
    // The lock is held until the id is stored, so that the completion cannot remove it earlier.
    const std::lock_guard lock(m_mutex);
    m_open_runs[call.token] =
        m_runs.send(call.address, std::move(request), call.remaining + m_settings.run_grace,
                    [this, token = call.token, complete = std::move(complete)](auto result) {
                        {
                            const std::lock_guard completion_lock(m_mutex);
                            m_open_runs.erase(token);
                        }
                        if (auto* response = std::get_if<http_response>(&result)) {
                            complete(read_run(token, *response));
                        } else {
                            complete(lost_or_not_sent(token, std::get<http_failure>(result)));
                        }
                    });
}

void http_runner_client::query(const query_call& call, std::function<void(query_result)> complete) {
    m_queries.send(call.address, query_request(call), m_settings.query_timeout,
                   [call, complete = std::move(complete)](auto result) {
                       if (auto* response = std::get_if<http_response>(&result)) {
                           complete(read_query(call, *response));
                       } else {
                           query_result none;
                           none.token = call.token;
                           complete(std::move(none));
                       }
                   });
}

void http_runner_client::ping(const ping_call& call, std::function<void(ping_result)> complete) {
    net::http_request request;
    request.target = "/v1/ping";
    m_queries.send(call.address, std::move(request), m_settings.query_timeout,
                   [token = call.token, complete = std::move(complete)](auto result) {
                       const auto* response = std::get_if<http_response>(&result);
                       if (response != nullptr && response->status == ok) {
                           complete({token, true, report_of(*response)});
                       } else {
                           complete({token, false, {}});
                       }
                   });
}

void http_runner_client::abandon(call_token token) {
    const std::lock_guard lock(m_mutex);
    const auto position = m_open_runs.find(token);
    if (position != m_open_runs.end()) {
        m_runs.cancel(position->second);
    }
}

void http_runner_client::replace_connections(const net::endpoint& address) {
    m_runs.close_idle(address);
}

} // namespace buckthornspar::routing
