#pragma once

#include "core/common/clock.h"

#include <algorithm>
#include <cstddef>

namespace buckthornspar::emulation {

/// The network link of a machine in one direction. While its rate is limited, messages queue.
class emulated_link {
public:
    void limit(common::time_point until, std::size_t bytes_per_second) {
        m_limited_until = until;
        m_bytes_per_second = bytes_per_second;
    }

    /// Time until a message that is sent now has passed the link.
    [[nodiscard]] common::duration send(common::time_point now, std::size_t bytes) {
        if (now < m_limited_until) {
            const auto time = common::duration(std::chrono::seconds(1)) *
                              static_cast<common::duration::rep>(bytes) /
                              static_cast<common::duration::rep>(m_bytes_per_second);
            m_busy_until = std::max(m_busy_until, now) + time;
        }
        return std::max(m_busy_until - now, common::duration(0));
    }

private:
    common::time_point m_limited_until;
    std::size_t m_bytes_per_second = 1;
    common::time_point m_busy_until;
};

} // namespace buckthornspar::emulation
