#include "soak/platform_store.h"

#include "core/common/error.h"
#include "soak/soak_log.h"
#include "wire_json.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::soak {

namespace json = boost::json;
using platform::array_of;
using platform::integer_of;
using platform::text_of;

namespace {

constexpr std::size_t max_page_items = 500;
constexpr std::size_t max_page_bytes = 1'000'000;
constexpr std::int64_t min_ttl_ms = 1000;
constexpr std::int64_t max_ttl_ms = 600'000;
constexpr std::int64_t max_wait_ms = 30'000;
constexpr std::string_view keep_path = "/v1/kv-keep/";
constexpr std::string_view end_path = "/v1/kv-lease-end/";

net::http_response json_answer(unsigned status, const json::object& body) {
    return net::json_response(status, json::serialize(body));
}

std::uint64_t number_query(const net::http_request& request, std::string_view name) {
    const auto text = request.query(name).value_or("");
    return text.empty() ? 0 : std::stoull(text);
}

json::array rows_of(const json::object& body, std::string_view name) {
    const auto* const rows = array_of(body, name);
    return rows == nullptr ? json::array() : *rows;
}

} // namespace

void platform_store::handle(const net::http_request& request, const net::http_reply& reply,
                            const value_view& view) {
    if (m_state == store_state::refusing) {
        reply(json_answer(503, {}));
        return;
    }
    if (m_state == store_state::silent) {
        m_unanswered.push_back(reply);
        return;
    }
    const std::string path(request.path());
    if (path == "/v1/kv-key") {
        reply(read(request, view));
    } else if (path == "/v1/kv-range") {
        reply(read_range(request, view));
    } else if (path == "/v1/kv-watch") {
        start_watch(request, reply, view);
    } else if (path == "/v1/kv-txn") {
        reply(commit(request.body, view));
    } else if (path == "/v1/kv-lease") {
        reply(open_lease(request.body));
    } else if (path.starts_with(keep_path)) {
        reply(keep_lease(std::stoull(path.substr(keep_path.size()))));
    } else if (path.starts_with(end_path)) {
        reply(end_lease(std::stoull(path.substr(end_path.size()))));
    } else {
        reply(json_answer(404, {}));
    }
}

void platform_store::put(const std::string& key, const std::string& value) {
    ++m_revision;
    put_item(key, value, 0);
    notify();
}

void platform_store::remove(const std::string& key) {
    if (m_items.contains(key)) {
        ++m_revision;
        remove_item(key);
        notify();
    }
}

std::string platform_store::value_of(const std::string& key) const {
    const auto position = m_items.find(key);
    return position == m_items.end() ? "" : position->second.value;
}

void platform_store::set_state(store_state state) {
    m_state = state;
    if (is_up()) {
        m_unanswered.clear();
        return;
    }
    for (auto& waiting : std::exchange(m_watches, {})) {
        if (state == store_state::silent) {
            m_unanswered.push_back(std::move(waiting.reply));
        } else {
            waiting.reply(json_answer(503, {}));
        }
    }
}

void platform_store::advance(std::int64_t now) {
    if (!expires()) {
        // A lease that pauses gets its full time again when the store is back.
        for (auto& [id, lease] : m_leases) {
            lease.ends_at_ms = now + lease.ttl_ms;
        }
        return;
    }
    for (auto position = m_leases.begin(); position != m_leases.end();) {
        if (position->second.ends_at_ms > now) {
            ++position;
            continue;
        }
        const auto id = position->first;
        position = m_leases.erase(position);
        remove_keys_of(id);
    }
    for (auto position = m_watches.begin(); position != m_watches.end();) {
        const auto current = position++;
        if (current->until_ms <= now) {
            current->reply(json_answer(200, {{"events", json::array()}, {"as_of", m_revision}}));
            m_watches.erase(current);
        }
    }
}

net::http_response platform_store::read(const net::http_request& request,
                                        const value_view& view) const {
    const auto key = request.query("key").value_or("");
    const auto position = m_items.find(key);
    if (position == m_items.end()) {
        return json_answer(404, {{"as_of", m_revision}});
    }
    auto body = write_item(key, position->second, view);
    body["as_of"] = m_revision;
    return json_answer(200, body);
}

net::http_response platform_store::read_range(const net::http_request& request,
                                              const value_view& view) const {
    const auto prefix = request.query("prefix").value_or("");
    const auto after = request.query("after").value_or("");
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
        items.push_back(write_item(i->first, i->second, view));
    }
    return json_answer(200,
                       {{"items", std::move(items)}, {"more_pages", more}, {"as_of", m_revision}});
}

void platform_store::start_watch(const net::http_request& request, const net::http_reply& reply,
                                 const value_view& view) {
    const auto wait = std::min<std::int64_t>(
        max_wait_ms, static_cast<std::int64_t>(number_query(request, "wait_ms")));
    m_watches.push_back({request.query("prefix").value_or(""), number_query(request, "after"),
                         now_ms() + wait, reply, &view});
    notify();
}

json::array platform_store::events_for(const watch& waiting) const {
    json::array events;
    const auto first = std::upper_bound(
        m_events.begin(), m_events.end(), waiting.after,
        [](std::uint64_t revision, const event& e) { return revision < e.revision; });
    for (auto i = first; i != m_events.end(); ++i) {
        if (!i->key.starts_with(waiting.prefix)) {
            continue;
        }
        if (i->removed) {
            events.push_back(
                json::object{{"key", i->key}, {"revision", i->revision}, {"removed", true}});
        } else {
            events.push_back(write_item(i->key, i->now, *waiting.view));
        }
    }
    return events;
}

void platform_store::notify() {
    for (auto position = m_watches.begin(); position != m_watches.end();) {
        const auto current = position++;
        auto events = events_for(*current);
        if (!events.empty()) {
            current->reply(
                json_answer(200, {{"events", std::move(events)}, {"as_of", m_revision}}));
            m_watches.erase(current);
        }
    }
}

net::http_response platform_store::commit(const std::string& text, const value_view& view) {
    const auto body = platform::parse_body(text);
    json::array current;
    bool holds = true;
    for (const auto& row : rows_of(body, "expect")) {
        const auto key = text_of(row.as_object(), "key");
        const auto position = m_items.find(key);
        const item found = position == m_items.end() ? item{} : position->second;
        const auto expected = integer_of(row.as_object(), "revision");
        holds = holds && found.revision == static_cast<std::uint64_t>(expected);
        current.push_back(write_item(key, found, view));
    }
    if (!holds) {
        return json_answer(412, {{"items", std::move(current)}});
    }
    const auto puts = rows_of(body, "put");
    for (const auto& row : puts) {
        if (!has_lease(static_cast<std::uint64_t>(integer_of(row.as_object(), "lease")))) {
            return json_answer(404, {});
        }
    }
    ++m_revision;
    for (const auto& row : puts) {
        const auto& put = row.as_object();
        put_item(text_of(put, "key"), platform::decode_base64(text_of(put, "value")),
                 static_cast<std::uint64_t>(integer_of(put, "lease")));
    }
    for (const auto& key : rows_of(body, "delete")) {
        remove_item(json::value_to<std::string>(key));
    }
    notify();
    return json_answer(200, {{"revision", m_revision}});
}

net::http_response platform_store::open_lease(const std::string& text) {
    const auto asked = integer_of(platform::parse_body(text), "ttl_ms");
    const auto ttl = std::clamp(asked, min_ttl_ms, max_ttl_ms);
    m_leases[++m_last_lease] = {ttl, now_ms() + ttl};
    return json_answer(200, {{"lease", m_last_lease}, {"ttl_ms", ttl}});
}

net::http_response platform_store::keep_lease(std::uint64_t id) {
    const auto position = m_leases.find(id);
    if (position == m_leases.end()) {
        return json_answer(404, {});
    }
    position->second.ends_at_ms = now_ms() + position->second.ttl_ms;
    return json_answer(200, {{"ttl_ms", position->second.ttl_ms}});
}

net::http_response platform_store::end_lease(std::uint64_t id) {
    if (m_leases.erase(id) == 0) {
        return json_answer(404, {});
    }
    remove_keys_of(id);
    return json_answer(200, {});
}

json::object platform_store::write_item(const std::string& key, const item& entry,
                                        const value_view& view) {
    return {{"key", key},
            {"value", platform::encode_base64(view.show(key, entry.value))},
            {"revision", entry.revision},
            {"created", entry.created},
            {"lease", entry.lease}};
}

// Number 0 stands for a key without a lease.
bool platform_store::has_lease(std::uint64_t lease) const {
    return lease == 0 || m_leases.contains(lease);
}

void platform_store::put_item(const std::string& key, std::string value, std::uint64_t lease) {
    auto& entry = m_items[key];
    entry.value = std::move(value);
    entry.revision = m_revision;
    entry.created = entry.created == 0 ? m_revision : entry.created;
    entry.lease = lease;
    m_events.push_back({m_revision, key, false, entry});
}

void platform_store::remove_item(const std::string& key) {
    if (m_items.erase(key) > 0) {
        m_events.push_back({m_revision, key, true, {}});
    }
}

void platform_store::remove_keys_of(std::uint64_t lease) {
    std::vector<std::string> keys;
    for (const auto& [key, entry] : m_items) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    if (keys.empty()) {
        return;
    }
    ++m_revision;
    for (const auto& key : keys) {
        remove_item(key);
    }
    notify();
}

} // namespace buckthornspar::soak
