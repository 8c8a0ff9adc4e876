#include "core/emulation/emulated_owner.h"

#include "core/emulation/emulated_platform.h"

#include <utility>

namespace buckthornspar::emulation {

using dispatch::order_result;
using dispatch::poll_result;

namespace {

constexpr auto store_retry = std::chrono::milliseconds(100);

} // namespace

emulated_owner::emulated_owner(emulated_platform& platform, std::uint64_t fence,
                               const dispatch::dispatcher_settings& settings)
    : m_platform(platform), m_engine(settings, m_counters), m_fence(fence) {}

void emulated_owner::post(common::duration delay, std::function<void()> event) {
    m_platform.m_events.after(delay, [this, event = std::move(event)] {
        if (m_ended) {
            return;
        }
        if (m_platform.now() < m_frozen_until) {
            post(m_frozen_until - m_platform.now(), event);
            return;
        }
        event();
        pump();
    });
}

void emulated_owner::pump() {
    if (m_ended || m_platform.now() < m_frozen_until) {
        return;
    }
    m_engine.on_list_known(m_platform.m_list_known_until);
    const auto known = m_platform.changes_known_until();
    m_engine.on_changes_known(known, known);
    m_engine.on_time(m_platform.now());
    for (const auto& action : m_engine.take_actions()) {
        execute_action(action);
    }
    save();
}

void emulated_owner::execute_action(const dispatch::dispatch_action& action) {
    if (const auto* const start = std::get_if<dispatch::start_order>(&action)) {
        m_platform.start(*start, [this, order = *start](order_result result) {
            post({}, [this, order, result] {
                m_engine.on_start_result(m_platform.now(), order, result);
            });
        });
    } else if (const auto* const stop = std::get_if<dispatch::stop_order>(&action)) {
        m_platform.stop(*stop, [this, order = *stop](order_result result) {
            post({}, [this, order, result] {
                m_engine.on_stop_result(m_platform.now(), order, result);
            });
        });
    } else if (const auto* const poll = std::get_if<dispatch::poll_call>(&action)) {
        const auto sent = m_platform.now();
        m_platform.poll(*poll, [this, call = *poll, sent](poll_result result) {
            post({}, [this, call, sent, result = std::move(result)] {
                m_engine.on_poll_result(m_platform.now(), call, sent, result);
            });
        });
    } else if (const auto* const call = std::get_if<dispatch::advice_call>(&action)) {
        ask_advice(*call);
    } else if (std::holds_alternative<dispatch::fenced>(action)) {
        m_ended = true;
    }
}

void emulated_owner::ask_advice(const dispatch::advice_call& call) {
    dispatch::advice_result result;
    result.answered = true;
    auto step = call.request.step;
    step.index = 0;
    // Every step is granted at least one worker.
    const auto step_hash = std::hash<std::string>{}(dispatch::to_string(step));
    const auto always_granted =
        "w" + std::to_string(step_hash % m_platform.m_fleet.workers().size());
    for (const auto& worker : call.request.workers) {
        const auto worker_hash = std::hash<std::string>{}(worker) ^ step_hash;
        if (worker == always_granted || worker_hash % m_platform.m_settings.granted_one_in == 0) {
            result.granted.push_back({worker, "ticket"});
        }
    }
    post(call.expected + m_platform.delay(), [this, id = call.id, result = std::move(result)] {
        m_engine.on_advice_result(m_platform.now(), id, result);
    });
}

void emulated_owner::save() {
    if (const auto batch = m_engine.next_save()) {
        write(*batch);
    }
}

void emulated_owner::write(const dispatch::save_batch& batch) {
    // The store performs the write even if the owner's process is frozen or has ended.
    m_platform.m_events.after(m_platform.m_settings.store_delay, [this, batch] {
        if (!m_platform.store_up()) {
            post(store_retry, [this, batch] { write(batch); });
            return;
        }
        if (!m_platform.save(m_fence, batch)) {
            m_ended = true;
            return;
        }
        post({}, [this] { m_engine.on_saved(m_platform.now()); });
    });
}

} // namespace buckthornspar::emulation
