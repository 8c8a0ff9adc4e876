#include "store.h"

#include <algorithm>
#include <utility>

namespace review {

namespace {

constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1'000'000;
constexpr std::int64_t min_ttl_ms = 1000;
constexpr std::int64_t max_ttl_ms = 600'000;
constexpr std::int64_t max_wait_ms = 30'000;
constexpr std::int64_t answer_time_ms = 4;
constexpr std::int64_t watch_step_ms = 4;

std::int64_t number_of(const std::string& text) {
    return text.empty() ? 0 : std::stoll(text);
}

json::array rows_of(const json::object& body, const char* name) {
    const auto* const rows = body.if_contains(name);
    return rows != nullptr && rows->is_array() ? rows->as_array() : json::array();
}

} // namespace

store::store(asio::io_context& context)
    : m_server(context, [this](const request& message) { return handle(message); }) {
    m_server.open();
}

void store::put(const std::string& key, const std::string& value) {
    ++m_revision;
    write(key, value, 0);
}

void store::remove(const std::string& key) {
    if (m_items.contains(key)) {
        ++m_revision;
        erase(key);
    }
}

std::string store::value_of(const std::string& key) const {
    const auto found = m_items.find(key);
    return found == m_items.end() ? "" : found->second.value;
}

awaitable<void> store::expire_leases() {
    while (true) {
        std::vector<std::int64_t> ended;
        for (const auto& [id, entry] : m_leases) {
            if (entry.ends_at_ms <= now_ms()) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            end_lease(id);
        }
        co_await pause_ms(5);
    }
}

awaitable<answer> store::handle(const request& message) {
    co_await pause_ms(answer_time_ms);
    const auto path = path_of(message);
    const std::string keep = "/v1/kv-keep/";
    const std::string end = "/v1/kv-lease-end/";
    if (path == "/v1/kv-key") {
        co_return read(message);
    }
    if (path == "/v1/kv-range") {
        co_return range(message);
    }
    if (path == "/v1/kv-watch") {
        co_return co_await watch(message);
    }
    if (path == "/v1/kv-txn") {
        co_return commit(body_of(message));
    }
    if (path == "/v1/kv-lease") {
        co_return open_lease(body_of(message));
    }
    if (path.starts_with(keep)) {
        const auto found = m_leases.find(number_of(path.substr(keep.size())));
        if (found == m_leases.end()) {
            co_return json_answer(404, {});
        }
        found->second.ends_at_ms = now_ms() + found->second.ttl_ms;
        co_return json_answer(200, {{"ttl_ms", found->second.ttl_ms}});
    }
    if (path.starts_with(end)) {
        const auto id = number_of(path.substr(end.size()));
        const bool known = m_leases.contains(id);
        end_lease(id);
        co_return json_answer(known ? 200 : 404, {});
    }
    co_return json_answer(404, {});
}

answer store::read(const request& message) const {
    const auto key = query_of(message, "key");
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return json_answer(404, {{"as_of", m_revision}});
    }
    auto body = describe(key, found->second);
    body["as_of"] = m_revision;
    return json_answer(200, body);
}

answer store::range(const request& message) const {
    const auto prefix = query_of(message, "prefix");
    const auto after = query_of(message, "after");
    json::array items;
    std::size_t bytes = 0;
    bool more = false;
    const auto first = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after);
    for (auto i = first; i != m_items.end() && i->first.starts_with(prefix); ++i) {
        more = items.size() >= max_page_items || bytes > max_page_bytes;
        if (more) {
            break;
        }
        bytes += i->second.value.size();
        items.push_back(describe(i->first, i->second));
    }
    return json_answer(200,
                       {{"items", std::move(items)}, {"more_pages", more}, {"as_of", m_revision}});
}

awaitable<answer> store::watch(const request& message) {
    const auto prefix = query_of(message, "prefix");
    const auto after = number_of(query_of(message, "after"));
    const auto wait = std::min(max_wait_ms, number_of(query_of(message, "wait_ms")));
    const auto until = now_ms() + wait;
    while (true) {
        auto events = events_after(prefix, after);
        if (!events.empty() || now_ms() >= until) {
            co_return json_answer(200, {{"events", std::move(events)}, {"as_of", m_revision}});
        }
        co_await pause_ms(watch_step_ms);
    }
}

json::array store::events_after(const std::string& prefix, std::int64_t after) const {
    json::array events;
    const auto first = std::upper_bound(
        m_events.begin(), m_events.end(), after,
        [](std::int64_t revision, const event& e) { return revision < e.revision; });
    for (auto i = first; i != m_events.end(); ++i) {
        if (!i->key.starts_with(prefix)) {
            continue;
        }
        if (i->removed) {
            events.push_back(
                json::object{{"key", i->key}, {"revision", i->revision}, {"removed", true}});
        } else {
            events.push_back(describe(i->key, i->now));
        }
    }
    return events;
}

answer store::commit(const json::object& body) {
    json::array current;
    bool holds = true;
    for (const auto& row : rows_of(body, "expect")) {
        const auto key = text_of(row.as_object(), "key");
        const auto found = m_items.find(key);
        const auto entry = found == m_items.end() ? item{} : found->second;
        holds = holds && entry.revision == integer_of(row.as_object(), "revision");
        current.push_back(describe(key, entry));
    }
    if (!holds) {
        return json_answer(412, {{"items", std::move(current)}});
    }
    const auto puts = rows_of(body, "put");
    for (const auto& row : puts) {
        const auto id = integer_of(row.as_object(), "lease");
        if (id != 0 && !m_leases.contains(id)) {
            return json_answer(404, {});
        }
    }
    ++m_revision;
    for (const auto& row : puts) {
        const auto& fields = row.as_object();
        write(text_of(fields, "key"), decode_base64(text_of(fields, "value")),
              integer_of(fields, "lease"));
    }
    for (const auto& key : rows_of(body, "delete")) {
        erase(json::value_to<std::string>(key));
    }
    return json_answer(200, {{"revision", m_revision}});
}

answer store::open_lease(const json::object& body) {
    const auto ttl = std::clamp(integer_of(body, "ttl_ms"), min_ttl_ms, max_ttl_ms);
    m_leases[++m_last_lease] = {ttl, now_ms() + ttl};
    return json_answer(200, {{"lease", m_last_lease}, {"ttl_ms", ttl}});
}

void store::write(const std::string& key, std::string value, std::int64_t lease) {
    auto& entry = m_items[key];
    entry.value = std::move(value);
    entry.revision = m_revision;
    entry.created = entry.created == 0 ? m_revision : entry.created;
    entry.lease = lease;
    m_events.push_back({m_revision, key, false, entry});
}

void store::erase(const std::string& key) {
    if (m_items.erase(key) > 0) {
        m_events.push_back({m_revision, key, true, {}});
    }
}

void store::end_lease(std::int64_t id) {
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : m_items) {
        if (id != 0 && entry.lease == id) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++m_revision;
    }
    for (const auto& key : keys) {
        erase(key);
    }
}

json::object store::describe(const std::string& key, const item& entry) {
    return {{"key", key},
            {"value", encode_base64(entry.value)},
            {"revision", entry.revision},
            {"created", entry.created},
            {"lease", entry.lease}};
}

} // namespace review
