#pragma once

#include <cstdint>

namespace buckthornspar::placement {

/// Amounts of the resources of a worker: thousandths of a processor, megabytes, accelerators.
struct resources {
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other) {
        cpu_milli += other.cpu_milli;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other) {
        cpu_milli -= other.cpu_milli;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator+(resources a, const resources& b) { return a += b; }
    friend resources operator-(resources a, const resources& b) { return a -= b; }

    friend resources operator*(const resources& a, std::int64_t factor) {
        return {a.cpu_milli * factor, a.memory_mb * factor, a.accelerators * factor};
    }

    /// True when no component exceeds that of the capacity.
    [[nodiscard]] bool fits(const resources& capacity) const {
        return cpu_milli <= capacity.cpu_milli && memory_mb <= capacity.memory_mb &&
               accelerators <= capacity.accelerators;
    }

    [[nodiscard]] bool non_negative() const {
        return cpu_milli >= 0 && memory_mb >= 0 && accelerators >= 0;
    }
};

} // namespace buckthornspar::placement
