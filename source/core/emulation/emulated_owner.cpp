#include "core/emulation/emulated_owner.h"

#include "core/dispatch/known_changes.h"
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
    : m_platform(platform),
      m_engine(settings, m_counters),
      m_fence(fence),
      m_processor(platform.m_events),
      m_jobs(platform, *this, watched_prefix::jobs),
      m_workers(platform, *this, watched_prefix::workers) {}

void emulated_owner::post(common::duration delay, std::function<void()> event, std::size_t weight) {
    m_platform.m_events.after(delay, [this, event = std::move(event), weight] {
        m_processor.execute([this, event, weight] {
            event();
            request_pump();
            m_processor.spend(m_platform.m_settings.event_cost * static_cast<int>(weight));
        });
    });
}

void emulated_owner::request_pump() {
    if (m_ended || std::exchange(m_pump_requested, true)) {
        return;
    }
    m_processor.execute([this] {
        m_pump_requested = false;
        pump();
    });
}

void emulated_owner::start_watches(std::size_t jobs_position, std::size_t workers_position,
                                   common::time_point read_at) {
    m_jobs.start(jobs_position, read_at);
    m_workers.start(workers_position, read_at);
    renew();
}

void emulated_owner::renew() {
    if (!m_platform.acknowledges_changes() || m_platform.is_isolated(m_fence)) {
        post(store_call_timeout, [this] { renew(); });
        return;
    }
    const auto& settings = m_platform.m_settings;
    post(settings.store_delay + m_platform.m_store.extra_delay(m_platform.now()), [this] {
        record_store_answer();
        post(m_platform.m_settings.lease_renewal, [this] { renew(); });
    });
}

void emulated_owner::record_store_answer() {
    m_store_answered_at = m_platform.now();
}

void emulated_owner::end() {
    m_ended = true;
    m_processor.stop();
}

common::time_point emulated_owner::changes_known_until(const emulated_watch& watch) const {
    return dispatch::changes_known_until(
        {watch.known_until(), watch.is_failing()},
        {m_platform.now() - m_store_answered_at, m_processor.recent_wait()});
}

void emulated_owner::pump() {
    const auto& settings = m_platform.m_settings;
    const auto now = m_platform.now();
    m_engine.on_list_known(m_workers.known_until());
    m_engine.on_key_seen(m_jobs.known_until());
    m_engine.on_changes_known(settings.claims_all_cancels ? now : changes_known_until(m_jobs),
                              settings.claims_all_drains ? now : changes_known_until(m_workers));
    const auto& plans = m_counters.get("plans_total");
    const auto plans_before = plans.value();
    m_engine.on_time(now);
    m_platform.m_observer.on_owner_acted(m_engine);
    const bool planned = plans.value() != plans_before;
    // As in the service's owner, actions are sent when the plan is complete.
    m_processor.spend(planned ? settings.plan_cost : common::duration(0),
                      [this, planned, actions = m_engine.take_actions()](common::duration took) {
                          if (planned) {
                              m_engine.on_planned(m_platform.now(), took);
                          }
                          for (const auto& action : actions) {
                              execute_action(action);
                          }
                          save();
                      });
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
    } else if (const auto* const change = std::get_if<dispatch::state_change>(&action)) {
        if (!dispatch::is_final(change->state)) {
            m_platform.m_observer.on_job_shown(change->job, change->state);
        }
    } else if (std::holds_alternative<dispatch::fenced>(action)) {
        end();
    }
}

void emulated_owner::ask_advice(const dispatch::advice_call& call) {
    dispatch::advice_result result;
    result.answered = true;
    auto step = call.request.step;
    step.index = 0;
    // Every step is granted at least one worker, and always the same one.
    const auto step_hash = std::hash<std::string>{}(dispatch::to_string(step));
    const auto always_granted = "w" + std::to_string(step_hash % m_platform.m_first_workers);
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
    // The store performs the write even if the owner's process is frozen or has ended. A slow store
    // takes half of the additional time before the write and half before the answer.
    const auto slowness = m_platform.m_store.extra_delay(m_platform.now());
    m_platform.m_events.after(m_platform.m_settings.store_delay + slowness / 2,
                              [this, batch, slowness] {
                                  if (!m_platform.store_up() || m_platform.is_isolated(m_fence)) {
                                      post(store_retry, [this, batch] { write(batch); });
                                      return;
                                  }
                                  if (!m_platform.save(m_fence, batch)) {
                                      end();
                                      return;
                                  }
                                  post(slowness / 2, [this] {
                                      record_store_answer();
                                      m_engine.on_saved(m_platform.now());
                                  });
                              });
}

} // namespace buckthornspar::emulation
