#include "core/common/number_set.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace buckthornspar::common {

void number_set::insert(std::uint32_t first, std::uint32_t last) {
    if (last < first) {
        return;
    }
    // The first range that begins behind the new one or overlaps it, or ends directly before it.
    auto position = m_ranges.upper_bound(first);
    if (position != m_ranges.begin()) {
        const auto before = std::prev(position);
        if (before->second >= first || before->second + 1 == first) {
            position = before;
        }
    }
    constexpr auto highest = std::numeric_limits<std::uint32_t>::max();
    while (position != m_ranges.end() && (last == highest || position->first <= last + 1)) {
        first = std::min(first, position->first);
        last = std::max(last, position->second);
        m_size -= std::uint64_t{position->second} - position->first + 1;
        position = m_ranges.erase(position);
    }
    m_ranges.emplace_hint(position, first, last);
    m_size += std::uint64_t{last} - first + 1;
}

bool number_set::contains(std::uint32_t number) const {
    const auto after = m_ranges.upper_bound(number);
    return after != m_ranges.begin() && std::prev(after)->second >= number;
}

std::optional<std::uint32_t> number_set::first_missing(std::uint32_t from) const {
    const auto after = m_ranges.upper_bound(from);
    if (after == m_ranges.begin() || std::prev(after)->second < from) {
        return from;
    }
    const auto last = std::prev(after)->second;
    return last == std::numeric_limits<std::uint32_t>::max() ? std::nullopt
                                                             : std::optional(last + 1);
}

} // namespace buckthornspar::common
