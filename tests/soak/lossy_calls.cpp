#include "soak/lossy_calls.h"

#include "core/net/event_loop.h"

#include <chrono>

namespace buckthornspar::soak {

namespace {

using std::chrono::milliseconds;

enum class call_fate { request_lost, response_lost, late };
constexpr std::uint64_t fate_count = 3;
/// Time after which the connection of a lost call is closed.
constexpr milliseconds silence{700};
constexpr std::uint64_t min_late_ms = 500;
constexpr std::uint64_t late_range_ms = 4000;

void discard(const net::http_response& /*response*/) {}

} // namespace

void lossy_calls::execute(const net::http_reply& reply, const call& serve) {
    if (!m_rng.chance(m_share)) {
        serve(reply);
        return;
    }
    // The reply is destroyed without a response when the period is over, which closes the
    // connection.
    m_loop.post_after(silence, [reply] {});
    switch (static_cast<call_fate>(m_rng.below(fate_count))) {
    case call_fate::request_lost:
        return;
    case call_fate::response_lost:
        serve(discard);
        return;
    case call_fate::late:
        m_loop.post_after(milliseconds(min_late_ms + m_rng.below(late_range_ms)),
                          [serve] { serve(discard); });
        return;
    }
}

} // namespace buckthornspar::soak
