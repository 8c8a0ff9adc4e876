#pragma once

#include "core/common/clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace buckthornspar::dispatch {

struct store_item {
    std::string key;
    std::string value;
    /// Store revision of the last change, and of the creation of the key.
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
};

struct store_event {
    store_item item;
    bool removed = false;
};

struct key_expectation {
    std::string key;
    /// Expected revision of the last change; 0 when the key must not exist.
    std::uint64_t revision = 0;
};

struct store_put {
    std::string key;
    std::string value;
    /// Lease to which the key is bound; 0 for a key that outlives its writer.
    std::uint64_t lease = 0;
};

/// An atomic transaction of at most max_commit_rows rows in total.
struct store_commit {
    std::vector<key_expectation> expect;
    std::vector<store_put> put;
    std::vector<std::string> remove;
};
inline constexpr std::size_t max_commit_rows = 32;

enum class store_status {
    ok,
    not_found,    ///< no such key or lease
    conflict,     ///< an expectation did not hold; nothing was done
    history_gone, ///< changes after the revision are gone; a new watch needs a new read
    unavailable,  ///< nothing was done
    unknown,      ///< no response: a change may have been made, or may still be made
};

struct store_result {
    store_status status = store_status::unknown;
    /// The key of a read, the keys of a range, or the expected keys of a conflict.
    std::vector<store_item> items;
    std::vector<store_event> events;
    bool more = false;
    /// Revision of the store at a read; revision of the change after a commit.
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
};

using store_completion = std::function<void(store_result)>;

/// The platform's key-value store with transactions and leases. Calls complete exactly once, on the
/// event loop. See docs/notes/platform.md.
class shared_store {
public:
    virtual ~shared_store() = default;
    virtual void read(const std::string& key, store_completion complete) = 0;
    /// Reads one page of the keys with the prefix, after the given key.
    virtual void range(const std::string& prefix, const std::string& after,
                       store_completion complete) = 0;
    /// Returns the changes after the revision; waits up to the given time for the first one.
    virtual void watch(const std::string& prefix, std::uint64_t after, common::duration wait,
                       store_completion complete) = 0;
    virtual void commit(const store_commit& change, store_completion complete) = 0;
    virtual void open_lease(common::duration ttl, store_completion complete) = 0;
    virtual void keep_lease(std::uint64_t lease, store_completion complete) = 0;
    virtual void end_lease(std::uint64_t lease, store_completion complete) = 0;

protected:
    shared_store() = default;
    shared_store(const shared_store&) = default;
    shared_store& operator=(const shared_store&) = default;
};

} // namespace buckthornspar::dispatch
