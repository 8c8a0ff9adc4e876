#pragma once

#include "http.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// The platform's metadata store: items with revisions, leases, watches and transactions.
class store {
public:
    explicit store(asio::io_context& context);

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

    // What servers and the operator write.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] std::string value_of(const std::string& key) const;
    /// Removes the keys of leases that have ended; runs until the program ends.
    awaitable<void> expire_leases();

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct event {
        std::int64_t revision = 0;
        std::string key;
        bool removed = false;
        item now;
    };
    struct lease {
        std::int64_t ttl_ms = 0;
        std::int64_t ends_at_ms = 0;
    };

    awaitable<answer> handle(const request& message);
    [[nodiscard]] answer read(const request& message) const;
    [[nodiscard]] answer range(const request& message) const;
    awaitable<answer> watch(const request& message);
    [[nodiscard]] json::array events_after(const std::string& prefix, std::int64_t after) const;
    answer commit(const json::object& body);
    answer open_lease(const json::object& body);
    void write(const std::string& key, std::string value, std::int64_t lease);
    void erase(const std::string& key);
    void end_lease(std::int64_t id);
    [[nodiscard]] static json::object describe(const std::string& key, const item& entry);

    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 100;
    std::int64_t m_last_lease = 0;
    server m_server;
};

} // namespace review
