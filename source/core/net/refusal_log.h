#pragma once

#include "core/common/counters.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <string_view>

namespace buckthornspar::net {

/// Why a message was not read to its end, or a connection was closed.
enum class refusal_reason {
    body_too_large,
    header_too_large,
    chunk_overhead,
    too_slow,
    memory_full,
    connections_full,
    response_not_read,
    stopping,
    response_too_large,
};

inline constexpr std::size_t refusal_reasons = 9;

[[nodiscard]] std::string_view to_string(refusal_reason reason);

/// Counts refusals by reason and writes at most one log line a reason in ten seconds.
class refusal_log {
public:
    explicit refusal_log(common::counters& counters) : m_counters(counters) {}

    void note(refusal_reason reason);

private:
    struct unreported {
        std::size_t refusals = 0;
        std::chrono::steady_clock::time_point last_line;
        bool logged = false;
    };

    common::counters& m_counters;
    std::array<unreported, refusal_reasons> m_unreported{};
};

} // namespace buckthornspar::net
