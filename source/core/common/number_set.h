#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace buckthornspar::common {

/// Set of numbers, kept as ranges: its size in memory depends on the number of gaps only.
class number_set {
public:
    void insert(std::uint32_t number) { insert(number, number); }
    /// Inserts all numbers from first to last, both included.
    void insert(std::uint32_t first, std::uint32_t last);
    [[nodiscard]] bool contains(std::uint32_t number) const;
    [[nodiscard]] bool empty() const { return m_ranges.empty(); }
    [[nodiscard]] std::uint64_t size() const { return m_size; }
    /// The smallest number from the given one on that is not contained; absent when all are.
    [[nodiscard]] std::optional<std::uint32_t> first_missing(std::uint32_t from) const;
    /// The ranges as pairs of their first and last numbers, in ascending order, with gaps between.
    [[nodiscard]] const std::map<std::uint32_t, std::uint32_t>& ranges() const { return m_ranges; }

    bool operator==(const number_set&) const = default;

private:
    std::map<std::uint32_t, std::uint32_t> m_ranges;
    std::uint64_t m_size = 0;
};

} // namespace buckthornspar::common
