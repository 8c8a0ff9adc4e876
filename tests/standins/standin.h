#pragma once

#include "core/common/clock.h"
#include "core/common/command_line.h"
#include "core/net/event_loop.h"
#include "core/net/http_server.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::standins {

/// Faults that every stand-in supports. POST /v1/faults sets the fields named in its body and
/// returns all of them.
struct fault_switches {
    /// Calls get status 503 and have no effect.
    bool down = false;
    /// Time between the arrival of a call and its execution.
    std::int64_t slow_ms = 0;
    /// Added to each call and to each response: the latency between two regions.
    std::int64_t one_way_latency_ms = 0;
    /// Number of writes that are dropped before they take effect; the connection is closed.
    std::int64_t lose_requests = 0;
    /// Number of writes that take effect but whose response is dropped; the connection is closed.
    std::int64_t lose_answers = 0;
    /// Number of writes that take effect but never get a response; the connection stays open.
    std::int64_t silence_answers = 0;
};

/// Serves the calls common to all stand-ins (/v1/faults, /v1/calls, /healthz), applies the faults
/// and passes all other calls to the derived class. All functions run on the loop's thread.
class standin_handler : public net::http_handler {
public:
    explicit standin_handler(net::event_loop& loop) : m_loop(loop) {}
    void handle(net::http_request request, net::http_reply reply) final;
    void set_one_way_latency(std::int64_t milliseconds);

protected:
    /// Executes a call of the platform contract. An exception is reported with status 400.
    virtual void serve(const net::http_request& request, const net::http_reply& reply) = 0;
    /// Kind under which /v1/calls counts the call.
    [[nodiscard]] virtual std::string call_kind(const net::http_request& request) const = 0;
    /// Returns true for calls to which the lose and silence faults apply.
    [[nodiscard]] virtual bool is_write(const net::http_request& request) const = 0;
    /// Serves a control call specific to one stand-in, such as /v1/history. Faults do not apply to
    /// it. Returns false if the request is not a control call.
    virtual bool serve_control(const net::http_request& request, const net::http_reply& reply);
    /// Sets a fault specific to this stand-in. Returns false if it has no fault of this name and
    /// type.
    virtual bool set_fault(std::string_view name, const boost::json::value& value);

    [[nodiscard]] net::event_loop& loop() { return m_loop; }

private:
    bool serve_common(const net::http_request& request, const net::http_reply& reply);
    [[nodiscard]] net::http_response change_faults(const std::string& body);
    void set_common_fault(std::string_view name, const boost::json::value& value);
    void execute(const net::http_request& request, const net::http_reply& reply);
    void serve_checked(const net::http_request& request, const net::http_reply& reply);
    [[nodiscard]] net::http_reply with_latency(const net::http_reply& reply);

    net::event_loop& m_loop;
    fault_switches m_faults;
    std::map<std::string, std::int64_t> m_calls;
    std::vector<net::http_reply> m_unanswered_replies;
};

/// Parses the body as a JSON object. Throws common::format_error.
[[nodiscard]] boost::json::object parse_object(const std::string& body);

using handler_factory = std::function<std::unique_ptr<standin_handler>(
    net::event_loop& loop, const common::command_line& line)>;

/// Main function of a stand-in: reads --listen, --latency-ms and the given options, prints
/// "listening ADDRESS:PORT" to standard output and serves until SIGTERM or SIGINT.
[[nodiscard]] int run_standin(int argc, const char* const* argv, const std::string& summary,
                              std::vector<common::option_spec> options,
                              const handler_factory& make_handler);

} // namespace buckthornspar::standins
