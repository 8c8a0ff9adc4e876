#include "core/emulation/change_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthornspar::emulation {

namespace {

// Time that a watch call may take beyond its wait; same value as in the platform's store client.
constexpr auto watch_slack = std::chrono::milliseconds(600);

void complete_once(watch_completion& pending, const std::optional<store_changes>& changes) {
    if (pending) {
        std::exchange(pending, nullptr)(changes);
    }
}

} // namespace

void change_log::append(store_change change) {
    m_changes.push_back(std::move(change));
    // Changes of the same moment are reported together.
    m_events.after({}, [this] { answer_waiting(); });
}

void change_log::watch(std::size_t after, common::duration wait, watch_completion complete) {
    const auto pending = std::make_shared<watch_completion>(std::move(complete));
    m_events.after(wait + watch_slack, [pending] { complete_once(*pending, std::nullopt); });
    if (!m_store.is_up(m_events.now())) {
        return;
    }
    m_calls.push_back({after, pending});
    if (m_changes.size() > after) {
        answer(std::prev(m_calls.end()));
        return;
    }
    m_events.after(wait, [this, pending] {
        const auto position =
            std::find_if(m_calls.begin(), m_calls.end(),
                         [&pending](const call& waiting) { return waiting.pending == pending; });
        if (position != m_calls.end()) {
            answer(position);
        }
    });
}

void change_log::answer_waiting() {
    for (auto position = m_calls.begin(); position != m_calls.end();) {
        const auto current = position++;
        if (m_changes.size() > current->after) {
            answer(current);
        }
    }
}

void change_log::answer(std::list<call>::iterator position) {
    const auto answered = std::move(*position);
    m_calls.erase(position);
    const auto now = m_events.now();
    if (!m_store.is_up(now)) {
        return;
    }
    store_changes changes(m_changes.begin() + static_cast<std::ptrdiff_t>(answered.after),
                          m_changes.end());
    const auto lateness = now < m_late_until ? m_lateness : common::duration(0);
    m_events.after(m_answer_delay + m_store.extra_delay(now) + lateness,
                   [pending = answered.pending, changes = std::move(changes)] {
                       complete_once(*pending, changes);
                   });
}

void change_log::delay_answers(common::duration length, common::duration by) {
    m_late_until = m_events.now() + length;
    m_lateness = by;
}

} // namespace buckthornspar::emulation
