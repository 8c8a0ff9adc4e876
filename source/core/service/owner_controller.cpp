#include "core/service/owner_controller.h"

#include "core/common/logging.h"
#include "core/common/overloaded.h"
#include "core/dispatch/known_changes.h"
#include "core/service/store_keys.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::service {

using common::log_event;
using common::severity;
using namespace dispatch;

namespace {

// Minimum time between two commits, so that runs that end at about the same time share a commit.
constexpr auto min_commit_interval = std::chrono::milliseconds(20);
constexpr auto commit_retry_delay = std::chrono::milliseconds(80);
// The counts of pending jobs are not reported while the watch of new jobs is further behind.
constexpr auto max_pending_jobs_age = std::chrono::milliseconds(2500);
// Time between two checks whether an ownership whose lease may have run out has been confirmed.
constexpr auto confirmation_check_interval = std::chrono::milliseconds(10);
// Maximum number of expired job records that one commit removes, and the time for which they are
// kept beyond their retention.
constexpr std::size_t max_removals_per_commit = 24;
constexpr auto retention_slack = std::chrono::seconds(30);

bool is_answered(order_status status) {
    return status != order_status::no_answer && status != order_status::not_sent;
}

} // namespace

std::string owner_name(const std::string& node, const net::endpoint& address) {
    return node + "@" + net::to_string(address);
}

owner_controller::owner_controller(owner_environment environment, std::uint64_t fence)
    : m_env(std::move(environment)),
      m_dispatcher(m_env.dispatcher, m_env.counters),
      m_shedding(m_env.may_shed),
      m_fence(fence),
      m_customer_gauges(m_env.counters) {}

std::function<bool()> owner_controller::make_active_check() {
    return [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->m_active;
    };
}

void owner_controller::begin(const std::vector<queue_settings>& queues,
                             const std::vector<customers::customer_settings>& customers) {
    m_queues = queues;
    m_customers = customers;
    load();
}

void owner_controller::end() {
    m_active = false;
    m_customer_gauges.clear();
    if (m_active_watcher) {
        m_active_watcher->stop();
    }
    if (m_worker_watcher) {
        m_worker_watcher->stop();
    }
    if (m_on_drained) {
        // A planned stop that waits for the last commits: the next owner makes them.
        m_env.loop.post(std::exchange(m_on_drained, nullptr));
    }
}

void owner_controller::on_configuration(
    const std::vector<queue_settings>& queues,
    const std::vector<customers::customer_settings>& customers) {
    m_queues = queues;
    m_customers = customers;
    if (m_loaded) {
        m_dispatcher.on_queues(queues);
        m_dispatcher.on_customers(customers);
        process_soon();
    }
}

void owner_controller::on_peer_seen(const std::string& node, const net::endpoint& address) {
    m_dispatcher.on_former_owner_ended(owner_name(node, address));
    const bool joined = !m_advice_balancer.has_node(node);
    m_advice_balancer.add_node(node);
    if (joined) {
        log_event(severity::info, "peer_joined", {{"peer", node}});
        m_dispatcher.set_requesting_nodes(m_advice_balancer.node_count());
        send_advice_calls();
    }
}

void owner_controller::on_peer_lost(const std::string& node) {
    log_event(severity::info, "peer_left", {{"peer", node}});
    m_advice_balancer.remove_node(node);
    m_dispatcher.set_requesting_nodes(m_advice_balancer.node_count());
}

std::optional<pending_report> owner_controller::pending() const {
    if (!m_loaded || m_active_watcher->age() > max_pending_jobs_age) {
        return std::nullopt;
    }
    return pending_report{m_dispatcher.pending_by_queue(),
                          m_active_watcher->age(),
                          m_dispatcher.job_memory(),
                          {m_dispatcher.workers().all().size(), m_dispatcher.jobs().size()}};
}

bool owner_controller::is_quiet() const {
    return !m_loaded ||
           (m_dispatcher.recovered() && !m_dispatcher.is_launching() && !m_commit && !m_store_down);
}

void owner_controller::drain(std::function<void()> complete) {
    m_dispatcher.drain();
    if (!m_loaded) {
        // Nothing has been decided that would have to be recorded.
        m_env.loop.post(std::move(complete));
        return;
    }
    m_on_drained = std::move(complete);
    process_actions();
}

// Processing after each event would let events wait while a plan is made for every single one: with
// plans that take longer than the pause between two of them, the owner falls behind by seconds.
void owner_controller::process_soon() {
    if (m_process_posted) {
        return;
    }
    m_process_posted = true;
    m_env.loop.post([self = shared_from_this()] {
        self->m_process_posted = false;
        self->process_actions();
    });
}

void owner_controller::process_actions() {
    if (!m_active || !m_loaded) {
        return;
    }
    if (m_processing) {
        m_process_again = true;
        return;
    }
    if (!m_env.may_act()) {
        schedule_wakeup(m_env.clock.now() + confirmation_check_interval);
        return;
    }
    m_processing = true;
    do {
        m_process_again = false;
        const auto now = m_env.clock.now();
        m_dispatcher.on_wall_clock(now, common::wall_clock_ms());
        m_dispatcher.on_list_known(now - m_worker_watcher->age());
        // A change of the key ends this owner before its watch is taken for current.
        m_dispatcher.on_key_seen(now - m_active_watcher->age());
        check_store();
        m_dispatcher.on_changes_known(changes_known_until(now, *m_active_watcher),
                                      changes_known_until(now, *m_worker_watcher));
        const bool starts_wait =
            m_dispatcher.pending_starts() * 2 >= m_env.dispatcher.max_pending_starts;
        m_dispatcher.set_advice_slots(m_shedding.limit(m_advice_balancer.free_slots(now),
                                                       m_dispatcher.pending_ticket_requests(),
                                                       starts_wait));
        const auto& plans = m_env.counters.get("plans_total");
        const auto plans_before = plans.value();
        m_dispatcher.on_time(now);
        m_load.record_event();
        if (plans.value() != plans_before) {
            const auto planned_at = m_env.clock.now();
            m_dispatcher.on_planned(planned_at, planned_at - now);
            m_load.record_plan(planned_at - now);
        }
        auto actions = m_dispatcher.take_actions();
        for (auto& action : actions) {
            if (m_active) {
                execute_action(action);
            }
        }
        send_advice_calls();
        save_progress();
    } while (m_process_again && m_active);
    m_processing = false;
    if (m_active) {
        const auto now = m_env.clock.now();
        schedule_wakeup(m_dispatcher.next_wakeup(now));
        if (m_load.is_due(now)) {
            report_load(now);
        }
    }
    if (m_on_drained && !m_commit && m_loaded && !m_dispatcher.is_launching()) {
        std::exchange(m_on_drained, nullptr)();
    }
}

store_contact owner_controller::contact() const {
    return {m_env.health.time_since_answer(), m_load.recent_delay()};
}

common::time_point owner_controller::changes_known_until(common::time_point now,
                                                         const prefix_watcher& watcher) const {
    return dispatch::changes_known_until({now - watcher.age(), watcher.failing()}, contact());
}

void owner_controller::check_store() {
    const bool down = is_outage(contact());
    if (m_store_down && !down) {
        // Watch calls sent during the outage may hang until their time limit.
        m_active_watcher->restart();
        m_worker_watcher->restart();
    }
    m_store_down = down;
}

void owner_controller::schedule_wakeup(common::time_point due) {
    const auto now = m_env.clock.now();
    // Timers may fire slightly late. A pending timer that is due earlier is sufficient, because it
    // schedules the next one.
    if (m_wakeup && *m_wakeup <= due && *m_wakeup > now) {
        return;
    }
    m_wakeup = due;
    m_env.loop.post_after(std::max<common::duration>(due - now, std::chrono::milliseconds(1)),
                          [self = shared_from_this(), due] {
                              self->m_load.record_wakeup(self->m_env.clock.now() - due);
                              if (self->m_wakeup == due) {
                                  self->m_wakeup.reset();
                                  self->process_actions();
                              }
                          });
}

void owner_controller::execute_action(dispatch_action& action) {
    const auto self = shared_from_this();
    std::visit(
        common::overloaded{
            [&](start_order& order) {
                const auto sent_at = m_env.clock.now();
                const auto* const worker = m_dispatcher.workers().find(order.worker);
                if (worker == nullptr) {
                    m_dispatcher.on_start_result(sent_at, order, {order_status::not_sent, 0});
                    return;
                }
                m_env.platform.workers().start(
                    worker->report.address, order, m_worker_timeout.value(),
                    [self, order, sent_at](const order_result& result) {
                        if (self->m_active) {
                            self->record_response_time(sent_at, is_answered(result.status), false);
                            self->m_dispatcher.on_start_result(self->m_env.clock.now(), order,
                                                               result);
                            self->process_soon();
                        }
                    });
            },
            [&](stop_order& order) {
                const auto sent_at = m_env.clock.now();
                const auto* const worker = m_dispatcher.workers().find(order.worker);
                if (worker == nullptr) {
                    m_dispatcher.on_stop_result(sent_at, order, {order_status::not_sent, 0});
                    return;
                }
                m_env.platform.workers().stop(
                    worker->report.address, order, m_worker_timeout.value(),
                    [self, order, sent_at](const order_result& result) {
                        if (self->m_active) {
                            self->record_response_time(sent_at, is_answered(result.status), false);
                            self->m_dispatcher.on_stop_result(self->m_env.clock.now(), order,
                                                              result);
                            self->process_soon();
                        }
                    });
            },
            [&](poll_call& call) { send_poll(call); },
            [&](advice_call& call) {
                m_advice_balancer.submit(std::move(call));
                send_advice_calls();
            },
            [&](state_change& change) {
                const auto now = m_env.clock.now();
                if (m_env.directory.apply_change(now, change)) {
                    m_env.on_directory_changed();
                }
                if (is_final(change.state)) {
                    m_ended_jobs.emplace_back(now, change.job);
                }
            },
            [&](fenced& event) {
                log_event(severity::warning, "fenced",
                          {{"worker", event.worker}, {"fence", m_fence}});
                m_env.report_lost("fenced");
            }},
        action);
}

void owner_controller::send_poll(const poll_call& call) {
    const auto* const worker = m_dispatcher.workers().find(call.order.worker);
    const auto sent_at = m_env.clock.now();
    if (worker == nullptr) {
        m_dispatcher.on_poll_result(sent_at, call, sent_at, {});
        return;
    }
    const auto complete = [self = shared_from_this(), call, sent_at](const poll_result& result) {
        if (!self->m_active) {
            return;
        }
        if (!call.through_peer) {
            self->record_response_time(sent_at, is_answered(result.status),
                                       call.order.wait > common::duration(0));
        }
        self->m_dispatcher.on_poll_result(self->m_env.clock.now(), call, sent_at, result);
        self->process_soon();
    };
    if (call.through_peer) {
        m_env.counters.get("relayed_polls_total").add();
        m_env.poll_through_peer(worker->report.address, call.order, complete);
        return;
    }
    m_env.platform.workers().poll(worker->report.address, call.order, m_worker_timeout.value(),
                                  complete);
}

void owner_controller::record_response_time(common::time_point sent_at, bool answered,
                                            bool waited) {
    const auto now = m_env.clock.now();
    if (!answered) {
        m_worker_timeout.record_timeout(now);
    } else if (!waited) {
        m_worker_timeout.record_response(now, now - sent_at);
    }
}

void owner_controller::send_advice_calls() {
    const auto self = shared_from_this();
    for (const auto& assigned : m_advice_balancer.take_ready(m_env.clock.now())) {
        m_env.ask_advice(assigned.node, assigned.call,
                         [self, assigned](const advice_result& result) {
                             if (self->m_active) {
                                 self->on_advice(assigned, result);
                             }
                         });
    }
}

void owner_controller::on_advice(const advice_balancer::assignment& assigned,
                                 const advice_result& result) {
    const auto now = m_env.clock.now();
    const bool unreachable = !result.answered && !result.busy;
    const bool moved = unreachable && m_advice_balancer.fail(assigned.node, assigned.call, now);
    if (assigned.node == m_env.node) {
        m_advice_balancer.add_node(m_env.node);
    }
    if (moved) {
        m_env.counters.get("advice_moves_total").add();
    } else {
        if (!unreachable) {
            m_advice_balancer.complete(assigned.node, assigned.call.id, now);
        }
        m_dispatcher.on_advice_result(now, assigned.call.id, result);
    }
    send_advice_calls();
    process_soon();
}

void owner_controller::save_progress() {
    const auto now = m_env.clock.now();
    if (m_commit || m_commit_scheduled) {
        return;
    }
    if (now < m_next_commit) {
        m_commit_scheduled = true;
        m_env.loop.post_after(m_next_commit - now, [self = shared_from_this()] {
            self->m_commit_scheduled = false;
            self->process_actions();
        });
        return;
    }
    const auto batch = m_dispatcher.next_save();
    if (!batch) {
        remove_expired_progress();
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
        // The batch covers only jobs that are no longer known; there is nothing to record.
        m_dispatcher.on_saved(now);
        m_process_again = true;
        return;
    }
    m_commit = std::move(change);
    m_commit_saves_progress = true;
    send_commit();
}

void owner_controller::remove_expired_progress() {
    const auto now = m_env.clock.now();
    const auto keep = m_env.state_retention + retention_slack;
    if (m_ended_jobs.empty() || now - m_ended_jobs.front().first < keep) {
        return;
    }
    store_commit change;
    while (!m_ended_jobs.empty() && now - m_ended_jobs.front().first >= keep &&
           change.remove.size() < max_removals_per_commit) {
        change.remove.push_back(progress_key(m_ended_jobs.front().second));
        m_ended_jobs.pop_front();
    }
    m_commit = std::move(change);
    m_commit_saves_progress = false;
    send_commit();
}

void owner_controller::send_commit() {
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

void owner_controller::on_commit(const store_result& result) {
    switch (result.status) {
    case store_status::ok:
        finish_commit(result.revision);
        return;
    case store_status::conflict: {
        const auto own_value = std::to_string(m_fence) + ":" + std::to_string(m_commits);
        const store_item* sequence = nullptr;
        bool owner_unchanged = false;
        for (const auto& item : result.items) {
            if (item.key == sequence_key) {
                sequence = &item;
            }
            owner_unchanged |= item.key == owner_key && item.revision == m_fence;
        }
        if (owner_unchanged && sequence != nullptr && sequence->value == own_value) {
            // An earlier attempt of this commit succeeded, but its answer was lost.
            finish_commit(sequence->revision);
            return;
        }
        m_env.report_lost(owner_unchanged ? "sequence_conflict" : "owner_key_changed");
        return;
    }
    default:
        // The commit failed or its outcome is unknown. Retrying it is safe: it expects the previous
        // revision of the sequence key and can therefore succeed only once.
        m_env.loop.post_after(commit_retry_delay, [self = shared_from_this()] {
            if (self->m_active && self->m_commit) {
                self->send_commit();
            }
        });
    }
}

void owner_controller::finish_commit(std::uint64_t revision) {
    m_sequence_revision = revision;
    m_commit.reset();
    const auto now = m_env.clock.now();
    if (m_commit_saves_progress) {
        m_dispatcher.on_saved(now);
    }
    m_next_commit = m_dispatcher.save_backlog() ? now : now + min_commit_interval;
    process_soon();
}

} // namespace buckthornspar::service
