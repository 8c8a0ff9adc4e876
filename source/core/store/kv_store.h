#pragma once

#include "core/common/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::store {

/// A key and its value. modify_index increases with each write of the key; 0 means that the key
/// does not exist.
struct kv_entry {
    std::string key;
    std::string value;
    std::uint64_t modify_index = 0;
};

enum class kv_operation {
    get,       ///< reads one key
    list,      ///< reads all keys with the prefix
    watch,     ///< reads one key once its index exceeds known_index, or after max_wait
    put_if,    ///< writes if the key's modify_index equals expected_index (0: key is absent)
    delete_if, ///< deletes if the key's modify_index equals expected_index
};

struct kv_request {
    kv_operation operation = kv_operation::get;
    std::string key;
    std::string value;
    std::uint64_t expected_index = 0;
    std::uint64_t known_index = 0;
    common::duration max_wait{0};
};

enum class kv_status {
    ok,
    not_found,   ///< get or watch of an absent key
    conflict,    ///< the compare-and-swap did not match; nothing was written
    unavailable, ///< not executed: the store refused the request or it was never sent
    unknown,     ///< no usable response; a write may or may not have taken effect
};

struct kv_response {
    kv_status status = kv_status::unavailable;
    /// One entry for a get or watch, all matching entries for a list.
    std::vector<kv_entry> entries;
    /// Index to pass as known_index to the next watch.
    std::uint64_t index = 0;
};

using kv_completion = std::function<void(kv_response)>;

/// Interface to the platform's key-value store; see docs/platform-contract.md.
class kv_store {
public:
    virtual ~kv_store() = default;

    /// Executes the request at most once. Calls the completion handler exactly once, on a thread
    /// that the implementation chooses.
    virtual void submit(kv_request request, kv_completion complete) = 0;

protected:
    kv_store() = default;
    kv_store(const kv_store&) = default;
    kv_store& operator=(const kv_store&) = default;
};

} // namespace buckthornspar::store
