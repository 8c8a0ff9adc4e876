#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace buckthornspar::net {

/// What the bytes of an account hold.
enum class budget_use {
    idle,        ///< nothing: a connection without a request
    receiving,   ///< a request that has arrived in part
    in_progress, ///< a request that its handler has not answered yet
    sending,     ///< a response that the peer has not taken yet
    awaited,     ///< a response of another process that has arrived in part
};

enum class eviction_reason { memory, connections };

/// Owner of an account.
class budget_member {
public:
    virtual ~budget_member() = default;

    /// The account has been emptied for others. The member frees its memory and closes its
    /// connection, but not within this call.
    virtual void on_evicted(eviction_reason reason) = 0;

protected:
    budget_member() = default;
    budget_member(const budget_member&) = default;
    budget_member& operator=(const budget_member&) = default;
};

/// Memory for the messages of all connections of a process, and number of the connections that it
/// accepts. Requests that are in progress and responses of other processes are never evicted; of
/// the others the largest go first, and of those of about the same size the oldest. For one thread.
class request_budget {
public:
    class account;

    /// max_connections is that of all servers of the process together.
    request_budget(std::size_t capacity_bytes, std::size_t max_connections);

    [[nodiscard]] std::size_t capacity() const { return m_capacity; }
    [[nodiscard]] std::size_t used() const { return m_used; }
    [[nodiscard]] std::size_t connections() const { return m_connections; }

    /// Evicts a connection if the process has all that it accepts, or the server max_of_server:
    /// the one that has been idle longest, else the oldest unfinished request. Returns false if
    /// there is none of these.
    [[nodiscard]] bool make_room_for_connection(const void* server, std::size_t of_server,
                                                std::size_t max_of_server);

    /// Evicts a connection as above, whatever their number. Returns false if there is none.
    bool evict_connection(const void* server);

private:
    [[nodiscard]] account* largest_evictable() const;
    void evict(account& victim, eviction_reason reason);

    std::size_t m_capacity;
    std::size_t m_max_connections;
    std::size_t m_used = 0;
    std::size_t m_connections = 0;
    std::uint64_t m_last_order = 0;
    std::unordered_set<account*> m_accounts;
};

/// The bytes of one connection in the budget.
class request_budget::account {
public:
    /// The server is that of an accepted connection; nullptr for a connection to another process.
    account(request_budget& budget, budget_member& member, const void* server);
    ~account();
    account(const account&) = delete;
    account& operator=(const account&) = delete;

    /// Sets the use and its bytes. Returns false if they do not fit; the account is idle then, and
    /// its owner frees the memory.
    [[nodiscard]] bool set(budget_use use, std::size_t bytes);

    void clear();

private:
    friend class request_budget;

    [[nodiscard]] bool evictable() const {
        return m_use == budget_use::receiving || m_use == budget_use::sending;
    }

    request_budget& m_budget;
    budget_member& m_member;
    const void* m_server;
    budget_use m_use = budget_use::idle;
    std::size_t m_bytes = 0;
    /// Increases with the begin of each use.
    std::uint64_t m_order = 0;
    bool m_evicted = false;
};

} // namespace buckthornspar::net
