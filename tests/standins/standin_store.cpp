// Stand-in for the key-value store of the platform contract, a subset of the Consul KV HTTP API.

#include "core/common/error.h"
#include "standins/kv_model.h"
#include "standins/standin.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace buckthornspar::standins {

namespace json = boost::json;

namespace {

constexpr std::string_view kv_prefix = "/v1/kv/";
constexpr std::size_t max_value_bytes = std::size_t{1} << 20U;
constexpr std::uint64_t max_wait_ms = 600'000;

std::string to_base64(const std::string& bytes) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group <<= 8U;
            group |= i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U;
        }
        const std::size_t used = std::min<std::size_t>(bytes.size() - i, 3) + 1;
        for (std::size_t k = 0; k < 4; ++k) {
            encoded.push_back(k < used ? digits[(group >> (18U - 6U * k)) & 63U] : '=');
        }
    }
    return encoded;
}

std::uint64_t to_number(std::string_view name, std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        throw common::format_error(std::string(name) + " must be a non-negative integer");
    }
    return number;
}

std::optional<std::uint64_t> number_query(const net::http_request& request, std::string_view name) {
    const auto text = request.query(name);
    if (!text) {
        return std::nullopt;
    }
    return to_number(name, *text);
}

// Parses the "wait" parameter, for example "5000ms" or "5s". Returns milliseconds.
std::uint64_t wait_query(const net::http_request& request) {
    const std::string text = request.query("wait").value_or("300s");
    const std::string_view view(text);
    const bool milliseconds = view.ends_with("ms");
    if (!view.ends_with('s')) {
        throw common::format_error("wait must end in ms or s");
    }
    const auto number = to_number("wait", view.substr(0, view.size() - (milliseconds ? 2 : 1)));
    return std::min(milliseconds ? number : number * 1000, max_wait_ms);
}

std::string key_of(const net::http_request& request) {
    std::string key;
    const auto segments = net::path_segments(request.path());
    for (std::size_t i = 2; i < segments.size(); ++i) {
        key += (i == 2 ? "" : "/") + segments[i];
    }
    return key;
}

bool is_recursive(const net::http_request& request) {
    const auto recurse = request.query("recurse");
    return recurse && *recurse != "false";
}

class store_handler final : public standin_handler {
public:
    using standin_handler::standin_handler;

protected:
    void serve(const net::http_request& request, const net::http_reply& reply) override {
        if (!request.path().starts_with(kv_prefix) || request.path().size() == kv_prefix.size()) {
            reply(net::error_response(404, "unknown_path", "expected /v1/kv/KEY"));
            return;
        }
        switch (request.method) {
        case net::http_method::get:
            read(request, reply);
            return;
        case net::http_method::put:
            write(request, reply);
            return;
        case net::http_method::del:
            answer_write(m_model.erase(key_of(request), number_query(request, "cas")), reply);
            return;
        case net::http_method::post:
            reply(net::error_response(405, "method_not_allowed", "use GET, PUT or DELETE"));
            return;
        }
    }

    std::string call_kind(const net::http_request& request) const override {
        switch (request.method) {
        case net::http_method::put:
            return request.query("cas") ? "put_if" : "put";
        case net::http_method::del:
            return "delete";
        default:
            break;
        }
        if (request.query("index")) {
            return "watch";
        }
        return is_recursive(request) ? "list" : "get";
    }

    bool is_write(const net::http_request& request) const override {
        return request.method != net::http_method::get;
    }

private:
    struct watcher {
        std::string key;
        bool recurse;
        std::uint64_t known_index;
        net::http_reply reply;
    };

    void write(const net::http_request& request, const net::http_reply& reply) {
        if (request.body.size() > max_value_bytes) {
            reply(net::error_response(413, "value_too_large", "values are limited to 1 MB"));
            return;
        }
        const auto expected = number_query(request, "cas");
        answer_write(m_model.put(key_of(request), request.body, expected), reply);
    }

    void answer_write(bool written, const net::http_reply& reply) {
        reply(net::json_response(200, written ? "true" : "false"));
        if (written) {
            notify();
        }
    }

    void read(const net::http_request& request, const net::http_reply& reply) {
        const std::string key = key_of(request);
        const bool recurse = is_recursive(request);
        const auto known = number_query(request, "index").value_or(0);
        const auto wait_ms = wait_query(request);
        if (known == 0 || m_model.index_of(key, recurse) > known) {
            reply(entries(key, recurse));
            return;
        }
        const auto id = ++m_last_watch;
        m_watchers.emplace(id, watcher{key, recurse, known, reply});
        loop().post_after(std::chrono::milliseconds(wait_ms), [this, id] { expire(id); });
    }

    void expire(std::uint64_t id) {
        const auto position = m_watchers.find(id);
        if (position != m_watchers.end()) {
            finish(position);
        }
    }

    void notify() {
        for (auto i = m_watchers.begin(); i != m_watchers.end();) {
            const auto current = i++;
            const watcher& w = current->second;
            if (m_model.index_of(w.key, w.recurse) > w.known_index) {
                finish(current);
            }
        }
    }

    void finish(std::map<std::uint64_t, watcher>::iterator position) {
        const watcher w = std::move(position->second);
        m_watchers.erase(position);
        w.reply(entries(w.key, w.recurse));
    }

    [[nodiscard]] net::http_response entries(const std::string& key, bool recurse) const {
        json::array found;
        const auto add = [&](const std::string& k, const kv_model::record& r) {
            found.push_back(json::object{
                {"Key", k}, {"Value", to_base64(r.value)}, {"ModifyIndex", r.modify_index}});
        };
        if (recurse) {
            for (const auto& [k, r] : m_model.list(key)) {
                add(k, r);
            }
        } else if (const auto* const r = m_model.find(key)) {
            add(key, *r);
        }
        auto response = found.empty() ? net::error_response(404, "not_found", "no such key")
                                      : net::json_response(200, json::serialize(found));
        response.fields.set("X-Consul-Index", std::to_string(m_model.index_of(key, recurse)));
        return response;
    }

    kv_model m_model;
    std::map<std::uint64_t, watcher> m_watchers;
    std::uint64_t m_last_watch = 0;
};

} // namespace

} // namespace buckthornspar::standins

int main(int argc, char** argv) {
    using namespace buckthornspar;
    return standins::run_standin(argc, argv,
                                 "\nKey-value store stand-in: Consul KV subset, in memory.", {},
                                 [](net::event_loop& loop, const common::command_line&) {
                                     return std::make_unique<standins::store_handler>(loop);
                                 });
}
