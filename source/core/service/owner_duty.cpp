#include "core/service/owner_duty.h"

#include "core/common/logging.h"
#include "core/common/overloaded.h"
#include "core/service/store_keys.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::service {

using common::log_event;
using common::severity;
using namespace dispatch;

namespace {

// Shortest time between two commits: ends that come together are recorded together.
constexpr auto commit_pause = std::chrono::milliseconds(20);
constexpr auto commit_retry = std::chrono::milliseconds(80);
// Records of ended jobs that are removed by one commit, and how long after their retention.
constexpr std::size_t max_forgotten = 24;
constexpr auto forget_slack = std::chrono::seconds(30);

} // namespace

owner_duty::owner_duty(owner_environment environment, std::uint64_t fence)
    : m_env(std::move(environment)),
      m_dispatcher(m_env.dispatcher, m_env.counters),
      m_fence(fence) {}

std::function<bool()> owner_duty::still_active() {
    return [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->m_active;
    };
}

void owner_duty::begin(const std::vector<queue_settings>& queues) {
    m_queues = queues;
    load();
}

void owner_duty::end() {
    m_active = false;
    if (m_active_follower) {
        m_active_follower->stop();
    }
    if (m_worker_follower) {
        m_worker_follower->stop();
    }
}

void owner_duty::on_queues(const std::vector<queue_settings>& queues) {
    m_queues = queues;
    if (m_loaded) {
        m_dispatcher.on_queues(queues);
        pump();
    }
}

void owner_duty::on_peer(const std::string& node) {
    if (!m_lanes.has_lane(node)) {
        log_event(severity::info, "peer_joined", {{"peer", node}});
        m_lanes.add_lane(node);
        send_advice();
    }
}

void owner_duty::on_peer_lost(const std::string& node) {
    log_event(severity::info, "peer_left", {{"peer", node}});
    m_lanes.remove_lane(node);
}

void owner_duty::drain(std::function<void()> complete) {
    m_drained = std::move(complete);
    m_dispatcher.drain();
    pump();
}

void owner_duty::pump() {
    if (!m_active || !m_loaded) {
        return;
    }
    if (m_pumping) {
        m_pump_again = true;
        return;
    }
    m_pumping = true;
    do {
        m_pump_again = false;
        const auto now = m_env.clock.now();
        m_dispatcher.on_wall_clock(now, common::wall_clock_ms());
        m_dispatcher.on_time(now);
        auto actions = m_dispatcher.take_actions();
        for (auto& action : actions) {
            if (m_active) {
                carry_out(action);
            }
        }
        save();
    } while (m_pump_again && m_active);
    m_pumping = false;
    if (m_active) {
        schedule(m_dispatcher.next_wakeup(m_env.clock.now()));
    }
    if (m_drained && !m_commit && m_loaded) {
        std::exchange(m_drained, nullptr)();
    }
}

void owner_duty::schedule(common::time_point due) {
    const auto now = m_env.clock.now();
    // A timer of the machine fires slightly late; one that is due earlier is enough.
    if (m_wakeup && *m_wakeup <= due && *m_wakeup > now) {
        return;
    }
    m_wakeup = due;
    m_env.loop.post_after(std::max<common::duration>(due - now, std::chrono::milliseconds(1)),
                          [self = shared_from_this(), due] {
                              if (self->m_wakeup == due) {
                                  self->m_wakeup.reset();
                                  self->pump();
                              }
                          });
}

void owner_duty::carry_out(dispatch_action& action) {
    const auto self = shared_from_this();
    std::visit(
        common::overloaded{
            [&](start_order& order) {
                const auto* const worker = m_dispatcher.workers().find(order.worker);
                if (worker == nullptr) {
                    return;
                }
                m_env.platform.workers().start(worker->report.address, order,
                                               [self, order](const order_result& result) {
                                                   if (self->m_active) {
                                                       self->m_dispatcher.on_start_result(
                                                           self->m_env.clock.now(), order, result);
                                                       self->pump();
                                                   }
                                               });
            },
            [&](stop_order& order) {
                const auto* const worker = m_dispatcher.workers().find(order.worker);
                if (worker == nullptr) {
                    return;
                }
                m_env.platform.workers().stop(worker->report.address, order,
                                              [self, order](const order_result& result) {
                                                  if (self->m_active) {
                                                      self->m_dispatcher.on_stop_result(
                                                          self->m_env.clock.now(), order, result);
                                                      self->pump();
                                                  }
                                              });
            },
            [&](poll_call& call) {
                const auto* const worker = m_dispatcher.workers().find(call.order.worker);
                if (worker == nullptr) {
                    return;
                }
                const auto sent_at = m_env.clock.now();
                m_env.platform.workers().poll(worker->report.address, call.order,
                                              [self, call, sent_at](const poll_result& result) {
                                                  if (self->m_active) {
                                                      self->m_dispatcher.on_poll_result(
                                                          self->m_env.clock.now(), call, sent_at,
                                                          result);
                                                      self->pump();
                                                  }
                                              });
            },
            [&](advice_call& call) {
                m_lanes.submit(std::move(call));
                send_advice();
            },
            [&](state_change& change) {
                const auto now = m_env.clock.now();
                if (m_env.directory.note(now, change)) {
                    m_env.changed();
                }
                if (is_final(change.state)) {
                    m_ended.emplace_back(now, change.job);
                }
            },
            [&](fenced& event) {
                log_event(severity::warning, "fenced",
                          {{"worker", event.worker}, {"fence", m_fence}});
                m_env.lost("fenced");
            }},
        action);
}

void owner_duty::send_advice() {
    const auto self = shared_from_this();
    for (const auto& assigned : m_lanes.take(m_env.clock.now())) {
        m_env.ask_advice(assigned.node, assigned.call,
                         [self, assigned](const advice_result& result) {
                             if (self->m_active) {
                                 self->on_advice(assigned, result);
                             }
                         });
    }
}

void owner_duty::on_advice(const advice_lanes::assignment& assigned, const advice_result& result) {
    const bool unreachable = !result.answered && !result.busy;
    if (unreachable && assigned.node != m_env.node) {
        m_env.counters.get("advice_moves_total").add();
        m_lanes.fail(assigned.node, assigned.call);
    } else {
        m_lanes.complete(assigned.node, assigned.call.id, m_env.clock.now());
        m_dispatcher.on_advice_result(m_env.clock.now(), assigned.call.id, result);
    }
    send_advice();
    pump();
}

void owner_duty::save() {
    const auto now = m_env.clock.now();
    if (m_commit || m_commit_waiting) {
        return;
    }
    if (now < m_next_commit) {
        m_commit_waiting = true;
        m_env.loop.post_after(m_next_commit - now, [self = shared_from_this()] {
            self->m_commit_waiting = false;
            self->pump();
        });
        return;
    }
    const auto batch = m_dispatcher.next_save();
    if (!batch) {
        forget_ended();
        return;
    }
    store_commit change;
    for (const auto& job : batch->jobs) {
        change.put.push_back({progress_key(job.job), job.progress, 0});
        if (job.final) {
            change.remove.push_back(job_key(job.job));
        }
        if (job.final && job.cancelled) {
            change.remove.push_back(cancel_key(job.job));
        }
    }
    if (!batch->workers.empty()) {
        change.put.push_back({std::string(workers_key), batch->workers, 0});
    }
    if (change.put.empty()) {
        // Ends of jobs that are not known any more: there is nothing to record about them.
        m_dispatcher.on_saved(now);
        m_pump_again = true;
        return;
    }
    m_commit = std::move(change);
    m_commit_is_save = true;
    send_commit();
}

void owner_duty::forget_ended() {
    const auto now = m_env.clock.now();
    const auto keep = m_env.state_retention + forget_slack;
    if (m_ended.empty() || now - m_ended.front().first < keep) {
        return;
    }
    store_commit change;
    while (!m_ended.empty() && now - m_ended.front().first >= keep &&
           change.remove.size() < max_forgotten) {
        change.remove.push_back(progress_key(m_ended.front().second));
        m_ended.pop_front();
    }
    m_commit = std::move(change);
    m_commit_is_save = false;
    send_commit();
}

void owner_duty::send_commit() {
    if (m_commit->expect.empty()) {
        m_commit->expect = {{std::string(owner_key), m_fence},
                            {std::string(sequence_key), m_sequence_revision}};
        m_commit->put.push_back({std::string(sequence_key),
                                 std::to_string(m_fence) + ":" + std::to_string(++m_commits), 0});
    }
    m_env.store.commit(*m_commit, [self = shared_from_this()](const store_result& result) {
        if (self->m_active) {
            self->on_commit(result);
        }
    });
}

void owner_duty::on_commit(const store_result& result) {
    switch (result.status) {
    case store_status::ok:
        commit_done(result.revision);
        return;
    case store_status::conflict: {
        const auto mine = std::to_string(m_fence) + ":" + std::to_string(m_commits);
        const store_item* sequence = nullptr;
        bool owner_unchanged = false;
        for (const auto& item : result.items) {
            if (item.key == sequence_key) {
                sequence = &item;
            }
            owner_unchanged |= item.key == owner_key && item.revision == m_fence;
        }
        if (owner_unchanged && sequence != nullptr && sequence->value == mine) {
            // The commit had been carried out and its answer was lost.
            commit_done(sequence->revision);
            return;
        }
        m_env.lost(owner_unchanged ? "sequence_conflict" : "owner_key_changed");
        return;
    }
    default:
        // Not done, or not known: the same commit again, which can succeed once only.
        m_env.loop.post_after(commit_retry, [self = shared_from_this()] {
            if (self->m_active && self->m_commit) {
                self->send_commit();
            }
        });
    }
}

void owner_duty::commit_done(std::uint64_t revision) {
    m_sequence_revision = revision;
    m_commit.reset();
    const auto now = m_env.clock.now();
    if (m_commit_is_save) {
        m_dispatcher.on_saved(now);
    }
    m_next_commit = m_dispatcher.save_backlog() ? now : now + commit_pause;
    pump();
}

} // namespace buckthornspar::service
