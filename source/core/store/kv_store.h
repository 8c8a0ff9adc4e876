#pragma once

#include "core/common/clock.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::store {

/// One key with its value. modify_index grows with each write of the key; 0 stands for absent.
struct kv_entry {
    std::string key;
    std::string value;
    std::uint64_t modify_index = 0;
};

enum class kv_operation {
    get,       ///< one key
    list,      ///< all keys with the prefix
    watch,     ///< one key; answers when its index is above known_index, or after max_wait
    put_if,    ///< writes when the key's modify_index equals expected_index (0: absent)
    delete_if, ///< deletes when the key's modify_index equals expected_index
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
    unavailable, ///< not executed: the store refused, or the request never left
    unknown,     ///< no answer; a write may or may not have taken effect
};

struct kv_response {
    kv_status status = kv_status::unavailable;
    /// The entry of a get or watch, the entries of a list.
    std::vector<kv_entry> entries;
    /// Index to pass as known_index of the next watch.
    std::uint64_t index = 0;
};

using kv_completion = std::function<void(kv_response)>;

/// The platform's key-value store. See docs/platform-contract.md.
class kv_store {
public:
    virtual ~kv_store() = default;

    /// Executes the request at most once and completes exactly once, on a thread of the
    /// implementation's choice.
    virtual void submit(kv_request request, kv_completion complete) = 0;

protected:
    kv_store() = default;
    kv_store(const kv_store&) = default;
    kv_store& operator=(const kv_store&) = default;
};

} // namespace buckthornspar::store
