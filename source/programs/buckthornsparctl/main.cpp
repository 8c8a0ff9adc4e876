#include "core/common/command_line.h"
#include "core/net/event_loop.h"
#include "core/net/http_client.h"
#include "core/tracing/job_trace.h"
#include "programs/buckthornsparctl/answer.h"
#include "programs/buckthornsparctl/commands.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

using namespace buckthornspar;

namespace {

constexpr std::int64_t default_timeout_ms = 10'000;
constexpr std::int64_t max_timeout_ms = 3'600'000;

std::vector<net::endpoint> read_servers(const common::command_line& line) {
    if (!line.has("server")) {
        throw common::command_line_error("--server ADDRESS:PORT is required");
    }
    std::vector<net::endpoint> servers;
    std::istringstream list(line.get("server"));
    std::string server;
    while (std::getline(list, server, ',')) {
        servers.push_back(net::parse_endpoint(server));
    }
    return servers;
}

common::duration read_timeout(const common::command_line& line) {
    if (!line.has("timeout-ms")) {
        return std::chrono::milliseconds(default_timeout_ms);
    }
    std::istringstream text(line.get("timeout-ms"));
    std::int64_t milliseconds = 0;
    if (!(text >> milliseconds) || !text.eof() || milliseconds < 1 ||
        milliseconds > max_timeout_ms) {
        throw common::command_line_error("--timeout-ms must be from 1 to " +
                                         std::to_string(max_timeout_ms));
    }
    return std::chrono::milliseconds(milliseconds);
}

net::http_result send(net::http_client& client, const net::endpoint& server,
                      const net::http_request& request, common::duration timeout) {
    std::promise<net::http_result> answer;
    client.send(server, request, timeout,
                [&](net::http_result result) { answer.set_value(std::move(result)); });
    return answer.get_future().get();
}

// Tries the next server only if the request cannot have reached the previous one.
net::http_result send_to_first(const std::vector<net::endpoint>& servers,
                               const net::http_request& request, common::duration timeout) {
    net::event_loop loop;
    net::http_client client(loop, {});
    loop.start();
    net::http_result result;
    for (const net::endpoint& server : servers) {
        result = send(client, server, request, timeout);
        const auto* const failure = std::get_if<net::http_failure>(&result);
        if (failure == nullptr || failure->request_sent) {
            break;
        }
    }
    loop.stop();
    return result;
}

// Reads logs from files or standard input; does not contact a server.
int trace(const common::command_line& line) {
    const auto& operands = line.operands();
    if (operands.size() < 3) {
        throw common::command_line_error("trace needs an ID and at least one FILE, or -");
    }
    std::stringstream logs;
    for (std::size_t i = 2; i < operands.size(); ++i) {
        if (operands[i] == "-") {
            logs << std::cin.rdbuf();
            continue;
        }
        std::ifstream file(operands[i], std::ios::binary);
        if (!file) {
            throw common::command_line_error("cannot read " + operands[i]);
        }
        logs << file.rdbuf();
        logs.clear();
    }
    const auto result = tracing::trace_job(operands[1], logs);
    if (line.has("json")) {
        tracing::print_json(result, std::cout);
    } else {
        tracing::print_text(result, std::cout);
    }
    return static_cast<int>(result.events.empty() ? common::exit_code::failure
                                                  : common::exit_code::success);
}

int run(int argc, const char* const* argv) {
    const common::command_line line(argc, argv, ctl::options(), ctl::usage());
    if (line.has("help")) {
        std::cout << line.help();
        return 0;
    }
    if (line.has("version")) {
        std::cout << BTS_VERSION << "\n";
        return 0;
    }
    if (!line.operands().empty() && line.operands().front() == "trace") {
        return trace(line);
    }
    const auto call = ctl::make_call(line);
    const auto result = send_to_first(read_servers(line), call.request, read_timeout(line));
    return static_cast<int>(ctl::print_answer(call, result, line.has("json")));
}

} // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const common::command_line_error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(common::exit_code::usage);
    } catch (const common::format_error& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(common::exit_code::usage);
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return static_cast<int>(common::exit_code::failure);
    }
}
