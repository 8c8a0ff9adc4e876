#pragma once

#include "core/common/clock.h"

namespace buckthornspar::service {

/// Time limit for calls to workers, derived from the response times of all of them: when the node's
/// own link or processor is slow, a fixed limit would break off and repeat every call, which adds
/// to the load. Silent workers among others that respond leave it unchanged.
class response_timeout {
public:
    static constexpr common::duration min = std::chrono::milliseconds(250);
    static constexpr common::duration max = std::chrono::milliseconds(1000);

    void record_response(common::time_point now, common::duration took);
    void record_timeout(common::time_point now);
    [[nodiscard]] common::duration value() const { return m_value; }

private:
    void advance(common::time_point now);

    common::duration m_value = min;
    common::time_point m_window_end;
    common::duration m_total{0};
    unsigned m_responses = 0;
    unsigned m_timeouts = 0;
};

} // namespace buckthornspar::service
