#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::standins {

/// In-memory key-value store with the index rules of Consul: every change takes the next index of
/// the store, and the index of a deleted key is that of its deletion.
class kv_model {
public:
    struct record {
        std::string value;
        std::uint64_t modify_index = 0;
    };
    using record_map = std::map<std::string, record>;

    [[nodiscard]] const record* find(const std::string& key) const;
    [[nodiscard]] std::vector<std::pair<std::string, record>> list(const std::string& prefix) const;

    /// Index of the latest change of the key, or with `recurse` of any key with this prefix. 1 if
    /// none has ever changed, because an index of 0 requests a non-blocking query.
    [[nodiscard]] std::uint64_t index_of(const std::string& key, bool recurse) const;

    /// Writes if `expected` is empty or equals the index of the key (0: the key is absent). Returns
    /// true if it wrote.
    bool put(const std::string& key, std::string value, std::optional<std::uint64_t> expected);
    bool erase(const std::string& key, std::optional<std::uint64_t> expected);

private:
    [[nodiscard]] bool matches(const std::string& key, std::optional<std::uint64_t> expected) const;

    record_map m_records;
    std::map<std::string, std::uint64_t> m_deleted;
    std::uint64_t m_index = 1;
};

} // namespace buckthornspar::standins
