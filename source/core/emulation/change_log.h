#pragma once

#include "core/common/event_queue.h"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

namespace buckthornspar::emulation {

class emulated_owner;

/// Tells an owner about one change in the store.
using store_change = std::function<void(emulated_owner&)>;
using store_changes = std::vector<store_change>;
/// Receives the changes; empty when the call was not answered in time.
using watch_completion = std::function<void(const std::optional<store_changes>&)>;

/// Faults of the store that affect all calls.
struct store_condition {
    common::time_point down_until;
    common::time_point slow_until;
    /// Additional time that the store takes for a call while it is slow.
    common::duration slowness{0};

    [[nodiscard]] bool is_up(common::time_point now) const { return now >= down_until; }
    [[nodiscard]] common::duration extra_delay(common::time_point now) const {
        return now < slow_until ? slowness : common::duration(0);
    }
};

/// The changes under one prefix of the store, in the order of acceptance, and the watch calls that
/// wait for them.
class change_log {
public:
    /// answer_delay is the time from a change to its arrival at an owner whose call is waiting.
    change_log(common::event_queue& events, const store_condition& store,
               common::duration answer_delay)
        : m_events(events), m_store(store), m_answer_delay(answer_delay) {}

    void append(store_change change);
    [[nodiscard]] std::size_t size() const { return m_changes.size(); }

    /// Reports the changes after the given number of changes once there are any, at the latest
    /// after the wait.
    void watch(std::size_t after, common::duration wait, watch_completion complete);
    /// Calls that wait now are not answered.
    void drop_calls() { m_calls.clear(); }
    /// Answers that are sent within the length take longer by the given time.
    void delay_answers(common::duration length, common::duration by);
    /// Answers that are sent within the length lack the changes of the given time before them.
    void hold_back_changes(common::duration length, common::duration by);

private:
    struct call {
        std::size_t after = 0;
        /// Empty once the call is answered or its time is over.
        std::shared_ptr<watch_completion> pending;
    };

    /// Number of changes that an answer may show now.
    [[nodiscard]] std::size_t visible() const;
    void answer_waiting();
    void answer(std::list<call>::iterator position);

    common::event_queue& m_events;
    const store_condition& m_store;
    common::duration m_answer_delay;
    store_changes m_changes;
    std::vector<common::time_point> m_changed_at;
    std::list<call> m_calls;
    common::time_point m_late_until;
    common::duration m_lateness{0};
    common::time_point m_held_back_until;
    common::duration m_held_back_by{0};
};

} // namespace buckthornspar::emulation
