#include "standins/standin.h"

#include "core/common/error.h"
#include "core/net/endpoint.h"

#include <boost/json.hpp>

#include <csignal>
#include <iostream>
#include <utility>

namespace buckthornspar::standins {

namespace json = boost::json;

namespace {

json::object to_json(const fault_switches& faults) {
    return {{"down", faults.down},
            {"slow_ms", faults.slow_ms},
            {"one_way_latency_ms", faults.one_way_latency_ms},
            {"lose_requests", faults.lose_requests},
            {"lose_answers", faults.lose_answers},
            {"silence_answers", faults.silence_answers}};
}

std::int64_t to_count(std::string_view name, const json::value& value) {
    if (!value.is_int64() || value.get_int64() < 0) {
        throw common::format_error(std::string(name) + " must be a non-negative integer");
    }
    return value.get_int64();
}

// Decrements the number of remaining faults. Returns false if none remain.
bool take_one(std::int64_t& remaining_faults) {
    if (remaining_faults == 0) {
        return false;
    }
    --remaining_faults;
    return true;
}

void wait_for_stop_signal() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

void block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

json::object parse_object(const std::string& body) {
    boost::system::error_code failure;
    const json::value value = json::parse(body, failure);
    if (failure) {
        throw common::format_error("the body is not JSON: " + failure.message());
    }
    if (!value.is_object()) {
        throw common::format_error("the body must be a JSON object");
    }
    return value.get_object();
}

void standin_handler::handle(net::http_request request, net::http_reply reply) {
    try {
        if (serve_common(request, reply) || serve_control(request, reply)) {
            return;
        }
    } catch (const common::error& e) {
        reply(net::error_response(400, e.type(), e.what()));
        return;
    }
    ++m_calls[call_kind(request)];
    const auto delay = std::chrono::milliseconds(m_faults.slow_ms + m_faults.one_way_latency_ms);
    if (delay.count() == 0) {
        execute(request, reply);
        return;
    }
    m_loop.post_after(delay, [this, request = std::move(request), reply = std::move(reply)] {
        execute(request, reply);
    });
}

void standin_handler::set_one_way_latency(std::int64_t milliseconds) {
    m_faults.one_way_latency_ms = milliseconds;
}

bool standin_handler::serve_control(const net::http_request& /*request*/,
                                    const net::http_reply& /*reply*/) {
    return false;
}

bool standin_handler::set_fault(std::string_view /*name*/, const json::value& /*value*/) {
    return false;
}

bool standin_handler::serve_common(const net::http_request& request, const net::http_reply& reply) {
    const auto path = request.path();
    if (path == "/healthz") {
        reply(net::json_response(200, R"({"state":"ok"})"));
        return true;
    }
    if (path == "/v1/faults") {
        reply(request.method == net::http_method::post
                  ? change_faults(request.body)
                  : net::json_response(200, json::serialize(to_json(m_faults))));
        return true;
    }
    if (path == "/v1/calls") {
        json::object calls;
        for (const auto& [kind, count] : m_calls) {
            calls[kind] = count;
        }
        reply(net::json_response(200, json::serialize(json::object{{"calls", calls}})));
        return true;
    }
    return false;
}

net::http_response standin_handler::change_faults(const std::string& body) {
    for (const auto& [name, value] : parse_object(body)) {
        if (!set_fault(name, value)) {
            set_common_fault(name, value);
        }
    }
    return net::json_response(200, json::serialize(to_json(m_faults)));
}

void standin_handler::set_common_fault(std::string_view name, const json::value& value) {
    if (name == "down") {
        if (!value.is_bool()) {
            throw common::format_error("down must be true or false");
        }
        m_faults.down = value.get_bool();
    } else if (name == "slow_ms") {
        m_faults.slow_ms = to_count(name, value);
    } else if (name == "one_way_latency_ms") {
        m_faults.one_way_latency_ms = to_count(name, value);
    } else if (name == "lose_requests") {
        m_faults.lose_requests = to_count(name, value);
    } else if (name == "lose_answers") {
        m_faults.lose_answers = to_count(name, value);
    } else if (name == "silence_answers") {
        m_faults.silence_answers = to_count(name, value);
    } else {
        throw common::unknown_name_error("fault", name);
    }
}

void standin_handler::execute(const net::http_request& request, const net::http_reply& reply) {
    if (m_faults.down) {
        reply(net::error_response(503, "unavailable", "the fault \"down\" is set"));
        return;
    }
    if (!is_write(request)) {
        serve_checked(request, with_latency(reply));
        return;
    }
    if (take_one(m_faults.lose_requests)) {
        // Destroying the last copy of the reply function without calling it closes the connection.
        return;
    }
    if (take_one(m_faults.lose_answers)) {
        serve_checked(request, [](const net::http_response&) {});
        return;
    }
    if (take_one(m_faults.silence_answers)) {
        m_unanswered_replies.push_back(reply);
        serve_checked(request, [](const net::http_response&) {});
        return;
    }
    serve_checked(request, with_latency(reply));
}

void standin_handler::serve_checked(const net::http_request& request,
                                    const net::http_reply& reply) {
    try {
        serve(request, reply);
    } catch (const common::error& e) {
        reply(net::error_response(400, e.type(), e.what()));
    } catch (const std::exception& e) {
        reply(net::error_response(400, "format_error", e.what()));
    }
}

net::http_reply standin_handler::with_latency(const net::http_reply& reply) {
    if (m_faults.one_way_latency_ms == 0) {
        return reply;
    }
    return [this, reply](net::http_response response) {
        m_loop.post_after(std::chrono::milliseconds(m_faults.one_way_latency_ms),
                          [reply, response = std::move(response)] { reply(response); });
    };
}

int run_standin(int argc, const char* const* argv, const std::string& summary,
                std::vector<common::option_spec> options, const handler_factory& make_handler) {
    try {
        options.push_back({"listen", 'l', "ADDRESS:PORT", "default 127.0.0.1:0 (any free port)"});
        options.push_back({"latency-ms", '\0', "N", "one-way latency of each call and response"});
        options.push_back({"help", 'h', "", "print this help and exit"});
        const common::command_line line(argc, argv, std::move(options), summary);
        if (line.has("help")) {
            std::cout << line.help();
            return static_cast<int>(common::exit_code::success);
        }
        // Blocked before any thread starts, so that only the main thread receives the signals.
        block_stop_signals();
        net::event_loop loop;
        const auto handler = make_handler(loop, line);
        handler->set_one_way_latency(std::stoll(line.get("latency-ms", "0")));
        const auto address = net::parse_endpoint(line.get("listen", "127.0.0.1:0"));
        net::http_server server(loop, address, {}, *handler);
        loop.start();
        std::cout << "listening " << address.address << ":" << server.port() << std::endl;
        wait_for_stop_signal();
        loop.stop();
        return static_cast<int>(common::exit_code::success);
    } catch (const common::command_line_error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(common::exit_code::usage);
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(common::exit_code::failure);
    }
}

} // namespace buckthornspar::standins
