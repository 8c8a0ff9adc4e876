#include "cell_acceptance.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::bench {

namespace {

constexpr auto flush_interval = std::chrono::milliseconds(10);
/// Time that an entry waits for the reply to a submission.
constexpr auto call_deadline = std::chrono::seconds(5);
constexpr std::size_t max_waiting = 10'000;
/// Number of 300-byte submissions that fill half of a 1 MB log value.
constexpr std::size_t max_batch = 1'700;

} // namespace

common::time_point store_model::end_of_write(common::time_point begin) const {
    const auto end = begin + (slow && slow->contains(begin) ? slow_write : write);
    const bool interrupted = down && begin < down->to && end >= down->from;
    return interrupted ? down->to + write : end;
}

bool cell_acceptance::add(const std::string& task, common::time_point now) {
    if (m_waiting.size() >= max_waiting) {
        return false;
    }
    m_waiting.push_back({task, now + call_deadline});
    return true;
}

cell_acceptance::outcome cell_acceptance::step(common::time_point now) {
    outcome result;
    if (m_write_ends && *m_write_ends <= now) {
        result.accepted = std::exchange(m_batch, {});
        m_write_ends.reset();
    }
    refuse_expired(now, result);
    if (!m_write_ends && !m_waiting.empty() && m_next_flush <= now) {
        begin_write(now);
    }
    return result;
}

void cell_acceptance::refuse_expired(common::time_point now, outcome& result) {
    while (!m_waiting.empty() && m_waiting.front().deadline <= now) {
        result.refused.push_back(std::move(m_waiting.front().task));
        m_waiting.pop_front();
    }
}

void cell_acceptance::begin_write(common::time_point now) {
    while (!m_waiting.empty() && m_batch.size() < max_batch) {
        m_batch.push_back(std::move(m_waiting.front().task));
        m_waiting.pop_front();
    }
    m_write_ends = m_store.end_of_write(now);
    m_next_flush = now + flush_interval;
}

std::optional<common::time_point> cell_acceptance::next_step() const {
    std::optional<common::time_point> next = m_write_ends;
    if (m_waiting.empty()) {
        return next;
    }
    const auto deadline = m_waiting.front().deadline;
    return std::min(next.value_or(m_next_flush), deadline);
}

} // namespace buckthornspar::bench
