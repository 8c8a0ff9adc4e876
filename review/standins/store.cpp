#include "store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json/src.hpp>

#include <algorithm>

namespace review {

namespace base64 = beast::detail::base64;

namespace {

constexpr std::size_t page_items = 500;
constexpr std::size_t page_bytes = 1'000'000;

bool has_prefix(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}

std::string parameter(const std::map<std::string, std::string>& query, const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::uint64_t number(const std::map<std::string, std::string>& query, const std::string& name) {
    const auto text = parameter(query, name);
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

std::string encode_base64(const std::string& bytes) {
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string decode_base64(const std::string& text) {
    std::string bytes(base64::decoded_size(text.size()), '\0');
    bytes.resize(base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> result;
    auto position = target.find('?');
    while (position != std::string::npos) {
        const auto end = target.find('&', position + 1);
        const auto pair = target.substr(position + 1, end - position - 1);
        const auto equals = pair.find('=');
        std::string value;
        for (std::size_t i = equals + 1; i < pair.size(); ++i) {
            if (pair[i] == '%' && i + 2 < pair.size()) {
                value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                value += pair[i];
            }
        }
        result[pair.substr(0, equals)] = value;
        position = end;
    }
    return result;
}

store::store() {
    m_server = std::make_unique<http_server>(0, [this](const request& r) { return handle(r); });
    m_expiry = std::thread([this] {
        while (!m_ended) {
            expire_leases();
            sleep_ms(10);
        }
    });
}

store::~store() {
    m_ended = true;
    m_changed.notify_all();
    m_expiry.join();
    m_server->stop();
}

void store::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    put_item(key, value, 0);
    m_changed.notify_all();
}

void store::remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    if (m_items.contains(key)) {
        ++m_revision;
        remove_item(key);
        m_changed.notify_all();
    }
}

std::string store::value_of(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : found->second.value;
}

void store::set_down(bool down) {
    m_down = down;
    m_changed.notify_all();
}

void store::put_item(const std::string& key, const std::string& value, std::uint64_t lease) {
    auto& entry = m_items[key];
    entry.value = value;
    entry.revision = m_revision;
    entry.created = entry.created == 0 ? m_revision : entry.created;
    entry.lease = lease;
    m_events.push_back({m_revision, key, false, entry});
}

void store::remove_item(const std::string& key) {
    m_items.erase(key);
    m_events.push_back({m_revision, key, true, {}});
}

// Leases pause while the store is down.
void store::expire_leases() {
    const std::lock_guard lock(m_mutex);
    const auto now = now_ms();
    if (m_down) {
        for (auto& entry : m_leases) {
            entry.second.ends_at = std::max(entry.second.ends_at, now + entry.second.ttl_ms);
        }
        return;
    }
    for (auto position = m_leases.begin(); position != m_leases.end();) {
        if (position->second.ends_at > now) {
            ++position;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, entry] : m_items) {
            if (entry.lease == position->first) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++m_revision;
        }
        for (const auto& key : keys) {
            remove_item(key);
        }
        position = m_leases.erase(position);
        m_changed.notify_all();
    }
}

json::object store::to_json(const std::string& key, const item& value) {
    return {{"key", key},
            {"value", encode_base64(value.value)},
            {"revision", value.revision},
            {"created", value.created},
            {"lease", value.lease}};
}

std::optional<response> store::handle(const request& call) {
    if (m_down) {
        return response{503, "{}"};
    }
    const std::string target(call.target());
    const auto path = target.substr(0, target.find('?'));
    const auto query = query_of(target);
    if (path == "/v1/kv-key") {
        return read(query);
    }
    if (path == "/v1/kv-range") {
        return range(query);
    }
    if (path == "/v1/kv-watch") {
        return watch(query);
    }
    if (path == "/v1/kv-txn") {
        return commit(json::parse(call.body()).as_object());
    }
    if (path == "/v1/kv-lease") {
        return open_lease(json::parse(call.body()).as_object());
    }
    const std::lock_guard lock(m_mutex);
    if (path.starts_with("/v1/kv-keep/")) {
        const auto found = m_leases.find(std::stoull(path.substr(12)));
        if (found == m_leases.end()) {
            return response{404, "{}"};
        }
        found->second.ends_at = now_ms() + found->second.ttl_ms;
        return response{200, json::serialize(json::object{{"ttl_ms", found->second.ttl_ms}})};
    }
    if (path.starts_with("/v1/kv-lease-end/")) {
        const auto found = m_leases.find(std::stoull(path.substr(17)));
        if (found == m_leases.end()) {
            return response{404, "{}"};
        }
        found->second.ends_at = 0;
        return response{200, "{}"};
    }
    return response{404, "{}"};
}

response store::read(const std::map<std::string, std::string>& query) {
    const std::lock_guard lock(m_mutex);
    const auto key = parameter(query, "key");
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return {404, json::serialize(json::object{{"as_of", m_revision}})};
    }
    auto object = to_json(key, found->second);
    object["as_of"] = m_revision;
    return {200, json::serialize(object)};
}

response store::range(const std::map<std::string, std::string>& query) {
    const std::lock_guard lock(m_mutex);
    const auto prefix = parameter(query, "prefix");
    const auto after = parameter(query, "after");
    json::array items;
    std::size_t bytes = 0;
    bool more = false;
    for (auto position = m_items.lower_bound(prefix);
         position != m_items.end() && has_prefix(position->first, prefix); ++position) {
        if (!after.empty() && position->first <= after) {
            continue;
        }
        if (items.size() >= page_items || bytes > page_bytes) {
            more = true;
            break;
        }
        bytes += position->second.value.size();
        items.push_back(to_json(position->first, position->second));
    }
    return {200, json::serialize(json::object{
                     {"items", std::move(items)}, {"more_pages", more}, {"as_of", m_revision}})};
}

response store::watch(const std::map<std::string, std::string>& query) {
    std::unique_lock lock(m_mutex);
    const auto prefix = parameter(query, "prefix");
    const auto after = number(query, "after");
    const auto until =
        steady::now() + std::chrono::milliseconds(static_cast<int>(number(query, "wait_ms")));
    while (true) {
        if (m_down || m_ended) {
            return {503, "{}"};
        }
        json::array events;
        const auto first =
            std::upper_bound(m_events.begin(), m_events.end(), after,
                             [](std::uint64_t r, const event& e) { return r < e.revision; });
        for (auto position = first; position != m_events.end(); ++position) {
            if (!has_prefix(position->key, prefix)) {
                continue;
            }
            if (position->removed) {
                events.push_back(json::object{
                    {"key", position->key}, {"revision", position->revision}, {"removed", true}});
            } else {
                events.push_back(to_json(position->key, position->now));
            }
        }
        if (!events.empty() || steady::now() >= until) {
            return {200, json::serialize(
                             json::object{{"events", std::move(events)}, {"as_of", m_revision}})};
        }
        m_changed.wait_until(lock, until);
    }
}

response store::commit(const json::object& body) {
    const std::lock_guard lock(m_mutex);
    const auto rows = [&body](const char* name) {
        const auto* const value = body.if_contains(name);
        return value == nullptr ? json::array() : value->as_array();
    };
    json::array conflicts;
    bool holds = true;
    for (const auto& row : rows("expect")) {
        const auto key = json::value_to<std::string>(row.at("key"));
        const auto found = m_items.find(key);
        const auto revision = found == m_items.end() ? 0 : found->second.revision;
        holds &= revision == row.at("revision").to_number<std::uint64_t>();
        conflicts.push_back(found == m_items.end()
                                ? json::object{{"key", key}, {"revision", 0}, {"value", ""}}
                                : to_json(key, found->second));
    }
    if (!holds) {
        return {412, json::serialize(json::object{{"items", std::move(conflicts)}})};
    }
    for (const auto& row : rows("put")) {
        const auto* const lease = row.as_object().if_contains("lease");
        if (lease != nullptr && !m_leases.contains(lease->to_number<std::uint64_t>())) {
            return {404, "{}"};
        }
        if (decode_base64(json::value_to<std::string>(row.at("value"))).size() > value_bytes) {
            ++m_refused_values;
            return {400, "{}"};
        }
    }
    ++m_revision;
    for (const auto& row : rows("put")) {
        const auto* const lease = row.as_object().if_contains("lease");
        put_item(json::value_to<std::string>(row.at("key")),
                 decode_base64(json::value_to<std::string>(row.at("value"))),
                 lease == nullptr ? 0 : lease->to_number<std::uint64_t>());
    }
    for (const auto& key : rows("delete")) {
        remove_item(json::value_to<std::string>(key));
    }
    m_changed.notify_all();
    return {200, json::serialize(json::object{{"revision", m_revision}})};
}

response store::open_lease(const json::object& body) {
    const std::lock_guard lock(m_mutex);
    const auto ttl =
        std::clamp<std::int64_t>(body.at("ttl_ms").to_number<std::int64_t>(), 1000, 600'000);
    const auto id = ++m_next_lease;
    m_leases[id] = {ttl, now_ms() + ttl};
    return {200, json::serialize(json::object{{"lease", id}, {"ttl_ms", ttl}})};
}

} // namespace review
