#pragma once

#include "core/common/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace buckthornspar::common {

struct log_output_limits {
    /// Sustained rate, and number of lines that may be written in a burst.
    std::size_t lines_per_second = 6000;
    std::size_t burst_lines = 12'000;
    /// Maximum number of buffered bytes that the reader has not accepted yet.
    std::size_t pending_bytes = std::size_t{512} * 1024;
};

/// Writes lines to a file descriptor without blocking on its reader. Lines beyond the limits are
/// dropped and counted, less important ones first; the next written line is preceded by a line with
/// their number. Not thread-safe.
class log_output {
public:
    log_output(int descriptor, log_output_limits limits);

    /// Important lines (warnings and errors) are exempt from the rate limit and may use the
    /// reserved part of the pending bytes.
    void write(time_point now, std::string_view line, bool important);
    /// Ordinary lines wait for flush(), so that many lines share their system calls. The request is
    /// called for the first line that waits and must lead to a call of flush(). Empty: each line is
    /// written at once.
    void defer(std::function<void()> request_flush);
    /// Writes as many pending bytes as the descriptor accepts.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }

private:
    [[nodiscard]] bool take_token(time_point now);
    void drop();

    int m_descriptor;
    log_output_limits m_limits;
    std::string m_pending;
    std::function<void()> m_request_flush;
    bool m_flush_requested = false;
    double m_tokens;
    time_point m_last_refill;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreported_drops = 0;
};

} // namespace buckthornspar::common
