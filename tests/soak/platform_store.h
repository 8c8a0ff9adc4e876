#pragma once

#include "core/net/http_server.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace buckthornspar::soak {

/// Changes the values that a reader of the store is shown, so that each node reaches the other
/// processes by addresses of its own, whose links can be cut one by one.
class value_view {
public:
    virtual ~value_view() = default;
    [[nodiscard]] virtual std::string show(const std::string& key,
                                           const std::string& value) const = 0;

protected:
    value_view() = default;
    value_view(const value_view&) = default;
    value_view& operator=(const value_view&) = default;
};

enum class store_state {
    up,
    refusing, ///< responds with 503
    silent,   ///< does not respond
};

/// Stand-in for the platform's metadata store: keys with revisions, pages, watches, conditional
/// writes and leases. All functions run on the loop's thread.
class platform_store {
public:
    void handle(const net::http_request& request, const net::http_reply& reply,
                const value_view& view);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Empty if the key does not exist.
    [[nodiscard]] std::string value_of(const std::string& key) const;

    void set_state(store_state state);
    [[nodiscard]] bool is_up() const { return m_state == store_state::up; }
    /// Whether leases, and the entries of workers, end while the store is not up. They pause
    /// otherwise.
    void set_expiry_while_down(bool expiry) { m_expiry_while_down = expiry; }
    [[nodiscard]] bool expires() const { return is_up() || m_expiry_while_down; }

    /// Ends the leases and the waits of watches that are over. Called periodically.
    void advance(std::int64_t now_ms);

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
    struct store_lease {
        std::int64_t ttl_ms = 0;
        std::int64_t ends_at_ms = 0;
    };
    struct watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::int64_t until_ms = 0;
        net::http_reply reply;
        const value_view* view = nullptr;
    };

    [[nodiscard]] net::http_response read(const net::http_request& request,
                                          const value_view& view) const;
    [[nodiscard]] net::http_response read_range(const net::http_request& request,
                                                const value_view& view) const;
    void start_watch(const net::http_request& request, const net::http_reply& reply,
                     const value_view& view);
    [[nodiscard]] net::http_response commit(const std::string& body, const value_view& view);
    [[nodiscard]] net::http_response open_lease(const std::string& body);
    [[nodiscard]] net::http_response keep_lease(std::uint64_t id);
    [[nodiscard]] net::http_response end_lease(std::uint64_t id);
    [[nodiscard]] static boost::json::object write_item(const std::string& key, const item& entry,
                                                        const value_view& view);
    [[nodiscard]] boost::json::array events_for(const watch& waiting) const;
    [[nodiscard]] bool has_lease(std::uint64_t lease) const;
    void put_item(const std::string& key, std::string value, std::uint64_t lease);
    void remove_item(const std::string& key);
    void remove_keys_of(std::uint64_t lease);
    void notify();

    store_state m_state = store_state::up;
    bool m_expiry_while_down = false;
    std::uint64_t m_revision = 1;
    std::uint64_t m_last_lease = 0;
    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::map<std::uint64_t, store_lease> m_leases;
    std::list<watch> m_watches;
    std::vector<net::http_reply> m_unanswered;
};

} // namespace buckthornspar::soak
