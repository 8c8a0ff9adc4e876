#pragma once

#include "core/common/counters.h"
#include "core/dispatch/dispatcher.h"
#include "core/emulation/emulated_processor.h"
#include "core/emulation/emulated_watch.h"

#include <functional>

namespace buckthornspar::emulation {

class emulated_platform;

/// One owner's term: a process with a dispatcher, whose actions are executed by the emulated
/// platform.
class emulated_owner {
public:
    emulated_owner(emulated_platform& platform, std::uint64_t fence,
                   const dispatch::dispatcher_settings& settings);

    /// Runs the event in the owner's process after the delay. It costs as much processor time as
    /// the given number of plain events.
    void post(common::duration delay, std::function<void()> event, std::size_t weight = 1);
    /// Lets the owner run the dispatcher and execute its actions, after all events that have
    /// arrived.
    void request_pump();
    /// Begins to watch the store after the changes that were read by a call sent at read_at; their
    /// numbers are the positions.
    void start_watches(std::size_t jobs_position, std::size_t workers_position,
                       common::time_point read_at);
    void record_store_answer();

    void end();
    void freeze_until(common::time_point time) { m_processor.freeze_until(time); }
    void slow_down(double factor, common::duration length) {
        m_processor.slow_down(factor, length);
    }
    [[nodiscard]] bool is_ended() const { return m_ended; }
    [[nodiscard]] std::uint64_t fence() const { return m_fence; }
    [[nodiscard]] dispatch::dispatcher& engine() { return m_engine; }

private:
    void pump();
    /// Renews the owner's lease in the store again and again. The answers show that the store
    /// works.
    void renew();
    [[nodiscard]] common::time_point changes_known_until(const emulated_watch& watch) const;
    void execute_action(const dispatch::dispatch_action& action);
    void ask_advice(const dispatch::advice_call& call);
    void save();
    void write(const dispatch::save_batch& batch);

    emulated_platform& m_platform;
    common::counters m_counters;
    dispatch::dispatcher m_engine;
    std::uint64_t m_fence;
    emulated_processor m_processor;
    emulated_watch m_jobs;
    emulated_watch m_workers;
    common::time_point m_store_answered_at;
    bool m_pump_requested = false;
    bool m_ended = false;
};

} // namespace buckthornspar::emulation
