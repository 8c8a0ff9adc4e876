#include "core/common/log_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace buckthornspar::common {

namespace {

// 1/4 of the pending bytes is reserved for important lines.
constexpr std::size_t important_reserve_divisor = 4;
// Deferred lines are written at the latest when they have this size.
constexpr std::size_t max_deferred_bytes = std::size_t{16} * 1024;

// Number of bytes to write next: whole lines, so that the output of several processes that share a
// pipe is not mixed within a line.
std::size_t next_part(std::string_view pending) {
    const auto part = pending.substr(0, PIPE_BUF);
    const auto last_line_end = part.rfind('\n');
    return last_line_end == std::string_view::npos ? part.size() : last_line_end + 1;
}

bool is_writable(int descriptor) {
    pollfd state{descriptor, POLLOUT, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

log_output::log_output(int descriptor, log_output_limits limits)
    : m_descriptor(descriptor),
      m_limits(limits),
      m_tokens(static_cast<double>(limits.burst_lines)) {}

bool log_output::take_token(time_point now) {
    const std::chrono::duration<double> elapsed = now - m_last_refill;
    m_last_refill = now;
    m_tokens =
        std::min(static_cast<double>(m_limits.burst_lines),
                 m_tokens + elapsed.count() * static_cast<double>(m_limits.lines_per_second));
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void log_output::drop() {
    ++m_dropped;
    ++m_unreported_drops;
}

void log_output::write(time_point now, std::string_view line, bool important) {
    if (m_last_refill == time_point{}) {
        m_last_refill = now;
    }
    const auto room =
        important ? m_limits.pending_bytes
                  : m_limits.pending_bytes - m_limits.pending_bytes / important_reserve_divisor;
    if (!(take_token(now) || important) || m_pending.size() + line.size() > room) {
        drop();
        return;
    }
    if (m_unreported_drops > 0) {
        m_pending.append("level=warning event=log_lines_dropped lines=")
            .append(std::to_string(m_unreported_drops))
            .push_back('\n');
        m_unreported_drops = 0;
    }
    m_pending.append(line).push_back('\n');
    if (!m_request_flush || important || m_pending.size() >= max_deferred_bytes) {
        flush();
        return;
    }
    if (!m_flush_requested) {
        m_flush_requested = true;
        m_request_flush();
    }
}

void log_output::defer(std::function<void()> request_flush) {
    m_request_flush = std::move(request_flush);
}

void log_output::flush() {
    m_flush_requested = false;
    // A writable descriptor, including a pipe, accepts up to PIPE_BUF bytes without blocking.
    std::size_t written = 0;
    while (written < m_pending.size() && is_writable(m_descriptor)) {
        const auto part = next_part(std::string_view(m_pending).substr(written));
        const auto count = ::write(m_descriptor, m_pending.data() + written, part);
        if (count < 0) {
            if (errno == EPIPE || errno == EBADF) {
                // The reader is gone or the descriptor is closed; discard the pending lines.
                written = m_pending.size();
                drop();
            }
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_pending.erase(0, written);
}

} // namespace buckthornspar::common
