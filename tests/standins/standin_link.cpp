// Stand-in for the links between regions: TCP relays that delay and count bytes and can be cut or
// silenced.

#include "core/common/error.h"
#include "standins/relay.h"
#include "standins/standin.h"

#include <boost/json.hpp>

#include <utility>

namespace buckthornspar::standins {

namespace json = boost::json;

namespace {

struct link {
    std::string from;
    std::string to;
    net::endpoint target;
    std::unique_ptr<relay> forwarder;
};

std::string string_field(const json::object& object, std::string_view name) {
    const json::value* const value = object.if_contains(name);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        throw common::format_error(std::string(name) + " must be a string");
    }
    return std::string(value->get_string());
}

json::object to_json(const link& l) {
    const auto bytes = l.forwarder->bytes();
    return {{"from", l.from},
            {"to", l.to},
            {"target", net::to_string(l.target)},
            {"address", net::to_string(l.forwarder->address())},
            {"state", to_string(l.forwarder->state())},
            {"bytes_forward", bytes.forward},
            {"bytes_back", bytes.back},
            {"connections", l.forwarder->open_connections()}};
}

/// POST /v1/relays {"from","to","target"} adds a relay and returns it with its address. GET
/// /v1/relays returns all relays with their byte counts. POST /v1/state {"state"} sets the state of
/// all relays; "region" limits it to relays from or to the region, "target" to relays to the
/// address.
class link_handler final : public standin_handler {
public:
    link_handler(net::event_loop& loop, common::duration one_way_delay)
        : standin_handler(loop), m_delay(one_way_delay) {}

protected:
    void serve(const net::http_request& /*request*/, const net::http_reply& reply) override {
        reply(net::error_response(404, "unknown_path", "expected /v1/relays or /v1/state"));
    }

    std::string call_kind(const net::http_request& /*request*/) const override { return "unknown"; }
    bool is_write(const net::http_request& /*request*/) const override { return false; }

    bool serve_control(const net::http_request& request, const net::http_reply& reply) override {
        const bool is_post = request.method == net::http_method::post;
        const auto path = request.path();
        if (path == "/v1/relays" && is_post) {
            reply(net::json_response(200, json::serialize(add(parse_object(request.body)))));
        } else if (path == "/v1/relays") {
            reply(net::json_response(200, json::serialize(json::object{{"relays", list()}})));
        } else if (path == "/v1/state" && is_post) {
            change_state(parse_object(request.body));
            reply(net::json_response(200, "{}"));
        } else {
            return false;
        }
        return true;
    }

private:
    json::object add(const json::object& description) {
        link l;
        l.from = string_field(description, "from");
        l.to = string_field(description, "to");
        l.target = net::parse_endpoint(string_field(description, "target"));
        l.forwarder = std::make_unique<relay>(loop(), l.target, m_delay);
        m_links.push_back(std::move(l));
        return to_json(m_links.back());
    }

    json::array list() const {
        json::array all;
        for (const auto& l : m_links) {
            all.push_back(to_json(l));
        }
        return all;
    }

    void change_state(const json::object& change) {
        const relay_state state = relay_state_from(string_field(change, "state"));
        const std::string region = string_field(change, "region");
        const std::string target = string_field(change, "target");
        for (auto& l : m_links) {
            const bool in_region = region.empty() || l.from == region || l.to == region;
            const bool to_target = target.empty() || net::to_string(l.target) == target;
            if (in_region && to_target) {
                l.forwarder->set_state(state);
            }
        }
    }

    common::duration m_delay;
    std::vector<link> m_links;
};

std::unique_ptr<standin_handler> make_link(net::event_loop& loop,
                                           const common::command_line& line) {
    return std::make_unique<link_handler>(
        loop, std::chrono::milliseconds(std::stoll(line.get("delay-ms", "20"))));
}

} // namespace

} // namespace buckthornspar::standins

int main(int argc, char** argv) {
    using namespace buckthornspar;
    return standins::run_standin(
        argc, argv, "\nStand-in for the links between regions.",
        {{"delay-ms", '\0', "N", "one-way delay of the relays, default 20"}}, standins::make_link);
}
