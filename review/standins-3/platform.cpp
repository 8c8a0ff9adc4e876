// The platform's store and the operator: keys, conditions, leases and watches. Runners write their
// entries with POST /standin/beat, which nobody else calls.

#include "net.h"

#include <boost/json/src.hpp>

#include <deque>
#include <iostream>
#include <list>
#include <vector>

namespace {

namespace json = boost::json;
using namespace review;

constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = std::size_t{1} << 20U;
constexpr std::int64_t history_ms = 20'000;

std::string encode(const std::string& bytes) {
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    text.reserve(bytes.size() * 4 / 3 + 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8U |
                    (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text.push_back(i + k <= bytes.size() ? digits[value >> (18U - 6U * k) & 63U] : '=');
        }
    }
    return text;
}

std::string decode(const std::string& text) {
    std::string bytes;
    std::uint32_t value = 0;
    unsigned bits = 0;
    for (const char c : text) {
        int digit = 0;
        if (c >= 'A' && c <= 'Z') {
            digit = c - 'A';
        } else if (c >= 'a' && c <= 'z') {
            digit = c - 'a' + 26;
        } else if (c >= '0' && c <= '9') {
            digit = c - '0' + 52;
        } else if (c == '+' || c == '/') {
            digit = c == '+' ? 62 : 63;
        } else {
            continue;
        }
        value = value << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>(value >> bits & 255U));
        }
    }
    return bytes;
}

struct item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
};

struct change {
    std::string key;
    std::uint64_t revision = 0;
    std::int64_t at = 0;
    bool removed = false;
    item value;
};

struct store_lease {
    std::int64_t ttl = 0;
    std::int64_t ends = 0;
};

struct waiting_watch {
    std::string prefix;
    std::uint64_t after = 0;
    std::int64_t until = 0;
    server::reply answer;
};

class platform {
public:
    explicit platform(const options& given)
        : m_value_bytes(static_cast<std::size_t>(given.number("value-bytes", 1048576))),
          m_heartbeat_ms(given.number("heartbeat-ms", 1500)) {}

    // Changes of one transaction share a revision.
    void write(const std::string& key, const std::string& value, std::uint64_t lease = 0,
               bool same_change = false) {
        auto& entry = m_items[key];
        entry.value = value;
        m_revision += same_change ? 0 : 1;
        entry.revision = m_revision;
        entry.created = entry.created == 0 ? m_revision : entry.created;
        entry.lease = lease;
        m_history.push_back({key, m_revision, steady_ms(), false, entry});
    }

    void remove(const std::string& key, bool same_change = false) {
        if (m_items.erase(key) > 0) {
            m_revision += same_change ? 0 : 1;
            m_history.push_back({key, m_revision, steady_ms(), true, {}});
        }
    }

    void handle(const message& request, const server::reply& answer) {
        const auto path = request.path();
        try {
            if (path == "/v1/kv-key") {
                read(request, answer);
            } else if (path == "/v1/kv-range") {
                range(request, answer);
            } else if (path == "/v1/kv-watch") {
                watch(request, answer);
            } else if (path == "/v1/kv-txn") {
                transact(json::parse(request.body).as_object(), answer);
            } else if (path == "/v1/kv-lease") {
                open_lease(json::parse(request.body).as_object(), answer);
            } else if (path.rfind("/v1/kv-keep/", 0) == 0) {
                keep_lease(std::strtoull(path.c_str() + 12, nullptr, 10), answer);
            } else if (path.rfind("/v1/kv-lease-end/", 0) == 0) {
                end_lease(std::strtoull(path.c_str() + 17, nullptr, 10));
                answer(200, "{}");
            } else if (path == "/standin/beat") {
                beat(request.query("id"), request.body);
                answer(200, "{}");
            } else if (path == "/standin/leave") {
                m_beats.erase(request.query("id"));
                remove("servers/" + request.query("id"));
                answer(200, "{}");
            } else {
                answer(404, "{}");
            }
        } catch (const std::exception& e) {
            answer(400, json::serialize(json::object{{"error", e.what()}}));
        }
        answer_watches();
    }

    void on_time() {
        const auto now = steady_ms();
        std::vector<std::uint64_t> over;
        for (const auto& [id, known] : m_leases) {
            if (known.ends <= now) {
                over.push_back(id);
            }
        }
        for (const auto id : over) {
            end_lease(id);
        }
        for (auto at = m_beats.begin(); at != m_beats.end();) {
            if (at->second + 3 * m_heartbeat_ms < now) {
                remove("servers/" + at->first);
                at = m_beats.erase(at);
            } else {
                ++at;
            }
        }
        while (!m_history.empty() && m_history.front().at + history_ms < now) {
            m_forgotten = m_history.front().revision;
            m_history.pop_front();
        }
        answer_watches();
    }

private:
    static json::object to_json(const std::string& key, const item& entry) {
        return {{"key", key},
                {"value", encode(entry.value)},
                {"revision", entry.revision},
                {"created", entry.created},
                {"lease", entry.lease}};
    }

    void read(const message& request, const server::reply& answer) {
        const auto found = m_items.find(request.query("key"));
        if (found == m_items.end()) {
            answer(404, "{}");
            return;
        }
        auto body = to_json(found->first, found->second);
        body["as_of"] = m_revision;
        answer(200, json::serialize(body));
    }

    void range(const message& request, const server::reply& answer) {
        const auto prefix = request.query("prefix");
        const auto after = request.query("after");
        json::array items;
        std::size_t bytes = 0;
        bool more = false;
        auto at = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
        for (; at != m_items.end() && at->first.rfind(prefix, 0) == 0; ++at) {
            if (items.size() >= max_page_items || bytes >= max_page_bytes) {
                more = true;
                break;
            }
            bytes += at->second.value.size();
            items.push_back(to_json(at->first, at->second));
        }
        answer(200, json::serialize(json::object{
                        {"items", std::move(items)}, {"more_pages", more}, {"as_of", m_revision}}));
    }

    void watch(const message& request, const server::reply& answer) {
        waiting_watch waiting;
        waiting.prefix = request.query("prefix");
        waiting.after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        waiting.until = steady_ms() + std::atoll(request.query("wait_ms").c_str());
        waiting.answer = answer;
        if (waiting.after < m_forgotten) {
            answer(410, "{}");
            return;
        }
        m_watches.push_back(std::move(waiting));
    }

    bool answer_watch(const waiting_watch& waiting, bool over) {
        json::array events;
        std::size_t bytes = 0;
        auto as_of = m_revision;
        std::uint64_t last = 0;
        const auto first = std::upper_bound(
            m_history.begin(), m_history.end(), waiting.after,
            [](std::uint64_t after, const change& c) { return after < c.revision; });
        for (auto at = first; at != m_history.end(); ++at) {
            if (at->key.rfind(waiting.prefix, 0) != 0) {
                continue;
            }
            const bool full = events.size() >= max_page_items || bytes >= max_page_bytes;
            if (full && at->revision != last) {
                as_of = at->revision - 1;
                break;
            }
            last = at->revision;
            bytes += at->value.value.size();
            events.push_back(
                at->removed
                    ? json::object{{"key", at->key}, {"revision", at->revision}, {"removed", true}}
                    : to_json(at->key, at->value));
        }
        if (events.empty() && !over) {
            return false;
        }
        waiting.answer(
            200, json::serialize(json::object{{"events", std::move(events)}, {"as_of", as_of}}));
        return true;
    }

    void answer_watches() {
        const auto now = steady_ms();
        if (m_answered == m_revision && now < m_watches_checked + 5) {
            return;
        }
        const bool changed = m_answered != m_revision;
        m_answered = m_revision;
        m_watches_checked = now;
        m_watches.remove_if([&](const waiting_watch& waiting) {
            const bool over = waiting.until <= now;
            return (changed || over) && answer_watch(waiting, over);
        });
    }

    void transact(const json::object& body, const server::reply& answer) {
        const auto rows = [&](const char* name) {
            const auto* const value = body.if_contains(name);
            return value == nullptr ? json::array() : value->as_array();
        };
        const auto expect = rows("expect");
        const auto put = rows("put");
        const auto removed = rows("delete");
        if (expect.size() + put.size() + removed.size() > 32) {
            answer(400, R"({"error":"too many entries"})");
            return;
        }
        bool holds = true;
        json::array states;
        for (const auto& row : expect) {
            const auto key = json::value_to<std::string>(row.as_object().at("key"));
            const auto wanted = row.as_object().at("revision").to_number<std::uint64_t>();
            const auto found = m_items.find(key);
            const auto revision = found == m_items.end() ? 0 : found->second.revision;
            holds = holds && revision == wanted;
            states.push_back(found == m_items.end() ? json::object{{"key", key}, {"revision", 0}}
                                                    : to_json(key, found->second));
        }
        if (!holds) {
            answer(412, json::serialize(json::object{{"items", std::move(states)}}));
            return;
        }
        struct row {
            std::string key;
            std::string value;
            std::uint64_t lease;
        };
        std::vector<row> decoded;
        for (const auto& entry : put) {
            const auto& object = entry.as_object();
            const auto* const lease = object.if_contains("lease");
            decoded.push_back({json::value_to<std::string>(object.at("key")),
                               decode(json::value_to<std::string>(object.at("value"))),
                               lease == nullptr ? 0 : lease->to_number<std::uint64_t>()});
            if (decoded.back().value.size() > m_value_bytes) {
                std::cout << unix_ms() << " refused " << decoded.back().key << " of "
                          << decoded.back().value.size() << " bytes" << std::endl;
                answer(400, R"({"error":"the value is too large"})");
                return;
            }
            if (decoded.back().lease != 0 && !m_leases.contains(decoded.back().lease)) {
                answer(404, "{}");
                return;
            }
        }
        ++m_revision;
        for (const auto& entry : decoded) {
            write(entry.key, entry.value, entry.lease, true);
        }
        for (const auto& entry : removed) {
            remove(json::value_to<std::string>(entry), true);
        }
        answer(200, json::serialize(json::object{{"revision", m_revision}}));
    }

    void open_lease(const json::object& body, const server::reply& answer) {
        const auto ttl = body.at("ttl_ms").to_number<std::int64_t>();
        const auto id = ++m_last_lease;
        m_leases[id] = {ttl, steady_ms() + ttl};
        answer(200, json::serialize(json::object{{"lease", id}, {"ttl_ms", ttl}}));
    }

    void keep_lease(std::uint64_t id, const server::reply& answer) {
        const auto found = m_leases.find(id);
        if (found == m_leases.end()) {
            answer(404, "{}");
            return;
        }
        found->second.ends = steady_ms() + found->second.ttl;
        answer(200, json::serialize(json::object{{"ttl_ms", found->second.ttl}}));
    }

    void end_lease(std::uint64_t id) {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto& [key, entry] : m_items) {
            if (entry.lease == id) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove(key);
        }
    }

    void beat(const std::string& id, const std::string& entry) {
        m_beats[id] = steady_ms();
        write("servers/" + id, entry);
    }

    std::size_t m_value_bytes;
    std::int64_t m_heartbeat_ms;
    std::uint64_t m_revision = 100;
    std::uint64_t m_forgotten = 0;
    std::uint64_t m_answered = 0;
    std::int64_t m_watches_checked = 0;
    std::uint64_t m_last_lease = 7000;
    std::map<std::string, item> m_items;
    std::deque<change> m_history;
    std::map<std::uint64_t, store_lease> m_leases;
    std::list<waiting_watch> m_watches;
    std::map<std::string, std::int64_t> m_beats;
};

// One service, and a queue without a policy of its own for each priority.
std::string configuration(const std::string& queues) {
    json::array routes;
    std::size_t priority = 0;
    std::string rest = queues;
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        const auto name = rest.substr(0, comma);
        routes.push_back(json::object{{"name", "r-" + name},
                                      {"host", "jobs.example"},
                                      {"prefix", "/" + name + "/"},
                                      {"kind", "non_idempotent"},
                                      {"timeout_ms", 3000},
                                      {"target_duration_ms", 3000},
                                      {"priority", priority++},
                                      {"service", "work"},
                                      {"max_attempts", 3},
                                      {"slack_factor", 4.0}});
        rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
    }
    return json::serialize(
        json::object{{"version", 7},
                     {"routes", std::move(routes)},
                     {"services", json::array{json::object{{"name", "work"},
                                                           {"health_path", "/healthz"},
                                                           {"max_conns", 64},
                                                           {"protocol", "h1"},
                                                           {"tls", false},
                                                           {"enforces_capacity", false},
                                                           {"standby", false}}}},
                     {"limits", json::object{{"max_header_bytes", 16384},
                                             {"max_body_bytes", 262144},
                                             {"header_timeout_ms", 3000},
                                             {"idle_timeout_ms", 15000}}}});
}

} // namespace

int main(int count, char** words) {
    const options given(count, words);
    platform store(given);
    store.write("op/config", configuration(given.text("queues", "plain")));
    server http(parse_address(given.text("listen")),
                [&store](const message& request, const server::reply& answer) {
                    store.handle(request, answer);
                });
    std::cout << "listening" << std::endl;
    while (true) {
        http.run_until(steady_ms() + 5);
        store.on_time();
    }
}
