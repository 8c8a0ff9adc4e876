#pragma once

// Stand-in for the platform's metadata store: items, ranges, watches, transactions and leases, as
// PROTOCOL.md describes them. An outage of kind `busy` answers 503.

#include "http.h"
#include "record.h"

#include <boost/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

std::string encode_base64(const std::string& bytes);
std::string decode_base64(const std::string& text);
/// The query parameters of a target, percent-decoded.
std::map<std::string, std::string> query_of(const std::string& target);

class store {
public:
    static constexpr std::size_t value_bytes = 1'048'576;

    store();
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_server->port(); }

    /// Writes of the operator and of the runners.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// The value of a key; empty if there is none.
    [[nodiscard]] std::string value_of(const std::string& key);
    [[nodiscard]] std::uint64_t refused_values() const { return m_refused_values; }

    void set_down(bool down);
    [[nodiscard]] bool down() const { return m_down; }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string key;
        bool removed = false;
        item now;
    };
    struct lease {
        std::int64_t ttl_ms = 0;
        std::int64_t ends_at = 0;
    };

    std::optional<response> handle(const request& call);
    response read(const std::map<std::string, std::string>& query);
    response range(const std::map<std::string, std::string>& query);
    response watch(const std::map<std::string, std::string>& query);
    response commit(const json::object& body);
    response open_lease(const json::object& body);
    void put_item(const std::string& key, const std::string& value, std::uint64_t lease);
    void remove_item(const std::string& key);
    void expire_leases();
    static json::object to_json(const std::string& key, const item& value);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::deque<event> m_events;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_next_lease = 7000;
    std::atomic<std::uint64_t> m_refused_values{0};
    std::atomic<bool> m_down{false};
    std::atomic<bool> m_ended{false};
    std::unique_ptr<http_server> m_server;
    std::thread m_expiry;
};

} // namespace review
