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
    m_changed_at.push_back(m_events.now());
    const bool held_back = m_events.now() < m_held_back_until;
    // Changes of the same moment are reported together.
    m_events.after(held_back ? m_held_back_by : common::duration(0), [this] { answer_waiting(); });
}

void change_log::watch(std::size_t after, common::duration wait, watch_completion complete) {
    const auto pending = std::make_shared<watch_completion>(std::move(complete));
    m_events.after(wait + watch_slack, [pending] { complete_once(*pending, std::nullopt); });
    if (!m_store.is_up(m_events.now())) {
        return;
    }
    m_calls.push_back({after, pending});
    if (visible() > after) {
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
        if (visible() > current->after) {
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
    // A call of a new owner may begin behind the changes that are visible.
    const auto end = std::max(visible(), answered.after);
    store_changes changes(m_changes.begin() + static_cast<std::ptrdiff_t>(answered.after),
                          m_changes.begin() + static_cast<std::ptrdiff_t>(end));
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

void change_log::hold_back_changes(common::duration length, common::duration by) {
    m_held_back_until = m_events.now() + length;
    m_held_back_by = by;
    m_events.after(length, [this] { answer_waiting(); });
}

std::size_t change_log::visible() const {
    const auto now = m_events.now();
    if (now >= m_held_back_until) {
        return m_changes.size();
    }
    const auto first_hidden =
        std::upper_bound(m_changed_at.begin(), m_changed_at.end(), now - m_held_back_by);
    return static_cast<std::size_t>(first_hidden - m_changed_at.begin());
}

} // namespace buckthornspar::emulation
