#pragma once

#include "core/common/counters.h"
#include "core/dispatch/dispatcher.h"

#include <functional>

namespace buckthornspar::emulation {

class emulated_platform;

/// One owner's term: a dispatcher whose actions are executed by the emulated platform.
class emulated_owner {
public:
    emulated_owner(emulated_platform& platform, std::uint64_t fence,
                   const dispatch::dispatcher_settings& settings);

    /// Runs the event in the owner's process after the delay, postponed while the process is frozen
    /// and dropped once it has ended.
    void post(common::duration delay, std::function<void()> event);
    /// Runs the dispatcher and executes its actions. Does nothing while the process is frozen or
    /// once it has ended.
    void pump();

    void end() { m_ended = true; }
    void freeze_until(common::time_point time) { m_frozen_until = time; }
    [[nodiscard]] bool is_ended() const { return m_ended; }
    [[nodiscard]] dispatch::dispatcher& engine() { return m_engine; }

private:
    void execute_action(const dispatch::dispatch_action& action);
    void ask_advice(const dispatch::advice_call& call);
    void save();
    void write(const dispatch::save_batch& batch);

    emulated_platform& m_platform;
    common::counters m_counters;
    dispatch::dispatcher m_engine;
    std::uint64_t m_fence;
    common::time_point m_frozen_until;
    bool m_ended = false;
};

} // namespace buckthornspar::emulation
