#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace buckthornspar::learning {

/// The latest ratios, at most Capacity of them, in a byte each. Ratios are given as natural
/// logarithms and kept to 1/32, between -4 and 4.
template <std::size_t Capacity>
class log_samples {
public:
    void add(double log_ratio) {
        const auto rounded = std::lround(std::clamp(log_ratio, -max_log, max_log) * steps_per_unit);
        m_values[m_next] = static_cast<std::int8_t>(std::min(rounded, max_value));
        m_next = static_cast<std::uint8_t>((m_next + 1U) % Capacity);
        m_size = static_cast<std::uint8_t>(std::min<std::size_t>(m_size + 1U, Capacity));
    }

    [[nodiscard]] std::size_t size() const { return m_size; }

    /// 0 without samples.
    [[nodiscard]] double median() const {
        if (m_size == 0) {
            return 0.0;
        }
        auto sorted = m_values;
        const auto end = sorted.begin() + m_size;
        std::sort(sorted.begin(), end);
        const int doubled = sorted[m_size / 2U] + sorted[(m_size - 1U) / 2U];
        return static_cast<double>(doubled) / (2.0 * steps_per_unit);
    }

private:
    static constexpr double steps_per_unit = 32.0;
    static constexpr double max_log = 4.0;
    static constexpr long max_value = 127;
    static_assert(Capacity > 0 && Capacity < 256);

    std::array<std::int8_t, Capacity> m_values{};
    std::uint8_t m_next = 0;
    std::uint8_t m_size = 0;
};

} // namespace buckthornspar::learning
