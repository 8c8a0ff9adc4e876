#pragma once

#include <chrono>
#include <cstdint>

namespace buckthornspar::common {

using duration = std::chrono::microseconds;

/// Clock type of time_point, for monotonic time within a process. Its epoch has no meaning outside
/// the process.
struct monotonic_clock_tag {
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock_tag>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_clock_tag::time_point;

/// Source of monotonic time. Decision logic never reads a clock; it receives the time as a
/// time_point.
class clock {
public:
    virtual ~clock() = default;
    [[nodiscard]] virtual time_point now() const = 0;

protected:
    clock() = default;
    clock(const clock&) = default;
    clock& operator=(const clock&) = default;
};

/// The operating system's monotonic clock.
class system_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override;
};

/// Manually advanced clock for tests and benchmarks.
class virtual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return m_now; }
    void advance(duration by) { m_now += by; }
    void set(time_point now) { m_now = now; }

private:
    time_point m_now{};
};

/// Converts to whole milliseconds, as used in messages and log lines.
[[nodiscard]] constexpr std::int64_t to_milliseconds(duration length) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

/// Converts to milliseconds since the epoch of the monotonic clock, as used in messages.
[[nodiscard]] constexpr std::int64_t to_milliseconds(time_point t) {
    return to_milliseconds(t.time_since_epoch());
}

/// Wall-clock time in milliseconds since 1970, for human-readable records. Must not be used for
/// leases.
[[nodiscard]] std::int64_t wall_clock_ms();

} // namespace buckthornspar::common
