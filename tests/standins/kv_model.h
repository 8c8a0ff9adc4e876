#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::standins {

/// Key-value store in memory with Consul's rules for indexes: every change takes the next index of
/// the store, and the index of a key that was deleted is that of its deletion.
class kv_model {
public:
    struct record {
        std::string value;
        std::uint64_t modify_index = 0;
    };
    using record_map = std::map<std::string, record>;

    [[nodiscard]] const record* find(const std::string& key) const;
    [[nodiscard]] std::vector<std::pair<std::string, record>> list(const std::string& prefix) const;

    /// Index of the newest change of the key, or of any key with the prefix; 1 when none ever
    /// changed, because 0 would ask for a non-blocking query.
    [[nodiscard]] std::uint64_t index_of(const std::string& key, bool recurse) const;

    /// Writes when expected is empty or the key's index (0: absent). Answers whether it wrote.
    bool put(const std::string& key, std::string value, std::optional<std::uint64_t> expected);
    bool erase(const std::string& key, std::optional<std::uint64_t> expected);

private:
    [[nodiscard]] bool matches(const std::string& key, std::optional<std::uint64_t> expected) const;

    record_map m_records;
    std::map<std::string, std::uint64_t> m_deleted;
    std::uint64_t m_index = 1;
};

} // namespace buckthornspar::standins
