// Stand-in for the instance list of the platform contract. Loads a JSON file and accepts changes
// over HTTP.

#include "core/common/error.h"
#include "standins/standin.h"

#include <boost/json.hpp>

#include <fstream>
#include <iterator>
#include <utility>

namespace buckthornspar::standins {

namespace json = boost::json;

namespace {

std::string read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        throw common::format_error("cannot read " + path);
    }
    return {std::istreambuf_iterator<char>(file), {}};
}

json::array instances_of(json::object document) {
    json::value* const instances = document.if_contains("instances");
    if (instances == nullptr || !instances->is_array()) {
        throw common::format_error("\"instances\" must be an array");
    }
    return std::move(instances->get_array());
}

std::string id_of(const json::object& instance) {
    const json::value* const id = instance.if_contains("id");
    if (id == nullptr || !id->is_string()) {
        throw common::format_error("an instance must have a string \"id\"");
    }
    return std::string(id->get_string());
}

class list_handler final : public standin_handler {
public:
    list_handler(net::event_loop& loop, json::array instances)
        : standin_handler(loop), m_instances(std::move(instances)), m_published(m_instances) {}

    void set_publication_delay(std::int64_t milliseconds) { m_publication_delay_ms = milliseconds; }

protected:
    void serve(const net::http_request& request, const net::http_reply& reply) override {
        if (request.method != net::http_method::get || request.path() != "/v1/instances") {
            reply(net::error_response(404, "unknown_path", "expected GET /v1/instances"));
            return;
        }
        if (request.query("index") == std::to_string(m_index)) {
            net::http_response unchanged;
            unchanged.status = 304;
            reply(std::move(unchanged));
            return;
        }
        const json::object body{{"index", m_index}, {"instances", m_published}};
        reply(net::json_response(200, json::serialize(body)));
    }

    std::string call_kind(const net::http_request& /*request*/) const override { return "list"; }
    bool is_write(const net::http_request& /*request*/) const override { return false; }

    // PUT /v1/instances replaces the list, POST adds an instance or updates its fields, DELETE
    // /v1/instances/{id} removes it.
    bool serve_control(const net::http_request& request, const net::http_reply& reply) override {
        const auto segments = net::path_segments(request.path());
        const bool is_list = segments.size() >= 2 && segments[1] == "instances";
        if (!is_list || request.method == net::http_method::get) {
            return false;
        }
        if (request.method == net::http_method::put) {
            m_instances = instances_of(parse_object(request.body));
        } else if (request.method == net::http_method::post) {
            add_or_update(parse_object(request.body));
        } else if (segments.size() == 3) {
            remove(segments[2]);
        }
        publish();
        reply(net::json_response(200, "{}"));
        return true;
    }

    bool set_fault(std::string_view name, const json::value& value) override {
        if (name != "lag_ms" || !value.is_int64()) {
            return false;
        }
        set_publication_delay(value.get_int64());
        return true;
    }

private:
    void add_or_update(const json::object& change) {
        const std::string id = id_of(change);
        for (auto& instance : m_instances) {
            if (id_of(instance.as_object()) != id) {
                continue;
            }
            for (const auto& [key, value] : change) {
                instance.as_object()[key] = value;
            }
            return;
        }
        m_instances.push_back(change);
    }

    void remove(const std::string& id) {
        for (auto i = m_instances.begin(); i != m_instances.end(); ++i) {
            if (id_of(i->as_object()) == id) {
                m_instances.erase(i);
                return;
            }
        }
    }

    void publish() {
        const auto make_visible = [this, instances = m_instances] {
            m_published = instances;
            ++m_index;
        };
        if (m_publication_delay_ms == 0) {
            make_visible();
            return;
        }
        loop().post_after(std::chrono::milliseconds(m_publication_delay_ms), make_visible);
    }

    json::array m_instances;
    json::array m_published;
    std::int64_t m_index = 1;
    std::int64_t m_publication_delay_ms = 0;
};

std::unique_ptr<standin_handler> make_list(net::event_loop& loop,
                                           const common::command_line& line) {
    json::array instances;
    if (line.has("instances")) {
        instances = instances_of(parse_object(read_file(line.get("instances"))));
    }
    auto handler = std::make_unique<list_handler>(loop, std::move(instances));
    handler->set_publication_delay(std::stoll(line.get("lag-ms", "0")));
    return handler;
}

} // namespace

} // namespace buckthornspar::standins

int main(int argc, char** argv) {
    using namespace buckthornspar;
    return standins::run_standin(
        argc, argv, "\nInstance list stand-in.",
        {{"instances", 'i', "FILE", "JSON document {\"instances\":[...]}"},
         {"lag-ms", '\0', "N", "time until a change becomes visible, in ms"}},
        standins::make_list);
}
