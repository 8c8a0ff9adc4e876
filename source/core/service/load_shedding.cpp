#include "core/service/load_shedding.h"

#include <algorithm>

namespace buckthornspar::service {

namespace {

constexpr unsigned max_level = 2;
// One window can be behind because of a burst. Levels are taken back more slowly than they are
// taken, so that the level does not change with every burst.
constexpr unsigned windows_to_raise = 2;
constexpr unsigned windows_to_lower = 5;
// The watches wait for 0.5 s, and one page or the pause between two calls comes on top.
constexpr auto max_jobs_age = std::chrono::milliseconds(1300);
constexpr auto max_list_age = std::chrono::milliseconds(1300);
constexpr auto max_loop_delay = std::chrono::milliseconds(200);
// Shorter than the authority of an owner (2 s) by more than a response takes.
constexpr common::duration long_poll_wait = std::chrono::milliseconds(900);
// Enough for the most urgent steps.
constexpr std::size_t few_ticket_requests = 24;

bool is_behind(const load_signals& signals) {
    return !signals.store_down &&
           (signals.starts_limited || signals.jobs_age > max_jobs_age ||
            signals.list_age > max_list_age || signals.loop_delay > max_loop_delay);
}

} // namespace

bool load_shedding::on_window(const load_signals& signals) {
    if (!m_enabled) {
        return false;
    }
    const auto before = m_level;
    if (is_behind(signals)) {
        m_calm = 0;
        if (++m_behind >= windows_to_raise && m_level < max_level) {
            ++m_level;
            m_behind = 0;
        }
    } else {
        m_behind = 0;
        if (++m_calm >= windows_to_lower && m_level > 0) {
            --m_level;
            m_calm = 0;
        }
    }
    return m_level != before;
}

common::duration load_shedding::poll_wait(common::duration usual) const {
    return m_level >= 1 ? std::max(usual, long_poll_wait) : usual;
}

std::size_t load_shedding::max_ticket_requests() const {
    return m_level >= 2 ? few_ticket_requests : 0;
}

dispatch::advice_slots load_shedding::limit(dispatch::advice_slots slots,
                                            std::size_t pending_requests, bool starts_wait) const {
    // Tickets that are asked for while starts wait expire before they are used. When no start
    // waits, fewer requests would only leave workers idle.
    const auto most = starts_wait ? max_ticket_requests() : 0;
    if (most != 0) {
        slots.calls = std::min(slots.calls, most - std::min(most, pending_requests));
        slots.long_calls = std::min(slots.long_calls, slots.calls);
    }
    return slots;
}

} // namespace buckthornspar::service
