#include "core/emulation/emulated_platform.h"

#include "core/common/error.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::emulation {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds(10);
// Same timeout as in the programs that call workers.
constexpr auto order_timeout = std::chrono::milliseconds(250);
// Time that a poll may take beyond its wait; same value as in the programs that call workers.
constexpr auto poll_slack = std::chrono::milliseconds(240);
constexpr auto election_retry = std::chrono::milliseconds(100);
// Typical sizes of a message about one run, and of a change in an answer to a watch call.
constexpr std::size_t message_bytes = 500;

std::string owner_name(std::uint64_t fence) {
    return "owner-" + std::to_string(fence);
}

} // namespace

void platform_observer::on_job_shown(const std::string&, dispatch::job_state) {}
void platform_observer::on_job_ended(const std::string&, dispatch::job_state) {}
void platform_observer::on_cancel_accepted(const std::string&) {}
void platform_observer::on_cancel_acknowledged(const std::string&) {}
void platform_observer::on_drain_acknowledged(const emulated_worker&) {}

emulated_platform::emulated_platform(const platform_settings& settings, platform_observer& observer,
                                     std::uint64_t seed)
    : m_settings(settings),
      m_observer(observer),
      m_rng(seed),
      m_fleet(m_settings.fleet, observer, seed),
      m_job_changes(m_events, m_store, m_settings.watch_delay),
      m_worker_changes(m_events, m_store, m_settings.watch_delay) {
    m_events.after(tick_interval, [this] { tick(); });
    m_events.after(m_settings.report_interval, [this] { report_workers(); });
}

emulated_platform::~emulated_platform() = default;

void emulated_platform::set_queues(std::vector<dispatch::queue_settings> queues) {
    m_queues = std::move(queues);
}

void emulated_platform::set_customers(std::vector<customers::customer_settings> customers) {
    m_customers = std::move(customers);
}

void emulated_platform::add_worker(const dispatch::worker_report& report) {
    m_fleet.add(now(), report);
    publish(report.id);
}

void emulated_platform::run_until(common::duration since_start) {
    m_events.run_until(common::time_point(since_start));
}

void emulated_platform::tick() {
    m_fleet.advance(now());
    for (const auto& id : m_fleet.workers_to_crash(now())) {
        crash_worker(id, m_settings.crash_length);
        m_fleet.find(id)->refuses_connections = true;
    }
    answer_polls();
    for (auto& former : m_replaced_owners) {
        former->request_pump();
    }
    if (m_owner) {
        report_ended_owners();
        m_owner->request_pump();
        if (m_owner->is_ended()) {
            replace_owner(m_settings.owner_lease);
        }
    }
    m_events.after(tick_interval, [this] { tick(); });
}

void emulated_platform::report_ended_owners() {
    if (!m_settings.reports_ended_owners) {
        return;
    }
    for (const auto& former : m_replaced_owners) {
        if (former->is_ended()) {
            m_owner->engine().on_former_owner_ended(owner_name(former->fence()));
        }
    }
}

void emulated_platform::report_workers() {
    for (const auto& [id, link] : m_links) {
        if (store_up() && link.listed && m_fleet.find(id)->up && now() >= link.store_cut_until) {
            publish(id);
        }
    }
    m_events.after(m_settings.report_interval, [this] { report_workers(); });
}

common::duration emulated_platform::delay() {
    const auto span = (m_settings.max_delay - m_settings.min_delay).count();
    return m_settings.min_delay +
           common::duration(m_rng.below(static_cast<std::uint64_t>(span) + 1));
}

bool emulated_platform::submit(const dispatch::job_spec& spec, const std::vector<double>& work_ms) {
    if (!store_up()) {
        return false;
    }
    m_fleet.add_job(spec, work_ms);
    const auto revision = ++m_revision;
    m_jobs[spec.id] = {spec, revision};
    dispatch::job_progress progress;
    progress.state =
        m_settings.claims_begun ? dispatch::job_state::running : dispatch::job_state::queued;
    m_job_changes.append([this, spec, progress, revision](emulated_owner& owner) {
        owner.engine().on_job(now(), spec, progress, revision);
    });
    return true;
}

bool emulated_platform::cancel(const std::string& job) {
    if (!store_up() || !m_jobs.contains(job)) {
        return false;
    }
    ++m_revision;
    m_cancels.insert(job);
    m_observer.on_cancel_accepted(job);
    acknowledge_cancel(job);
    m_job_changes.append(
        [this, job](emulated_owner& owner) { owner.engine().on_cancel(now(), job); });
    return true;
}

bool emulated_platform::acknowledges_changes() const {
    return store_up() && m_store.extra_delay(now()) <= store_call_timeout;
}

// A caller whose request is not answered in time repeats it until the store answers in time.
void emulated_platform::acknowledge_cancel(const std::string& job) {
    if (acknowledges_changes()) {
        m_observer.on_cancel_acknowledged(job);
        return;
    }
    const auto retry_at = std::max(m_store.down_until, m_store.slow_until);
    m_events.after(retry_at - now(), [this, job] { acknowledge_cancel(job); });
}

void emulated_platform::watch_store(std::uint64_t fence, watched_prefix prefix, std::size_t after,
                                    watch_completion complete) {
    const bool sent = !is_isolated(fence);
    log_of(prefix).watch(after, m_settings.watch_wait,
                         [this, fence, sent, complete = std::move(complete)](
                             const std::optional<store_changes>& changes) {
                             if (!sent || is_isolated(fence)) {
                                 complete(std::nullopt);
                                 return;
                             }
                             const auto bytes = changes ? message_bytes * changes->size() : 0;
                             const auto queued = m_owner_receives.send(now(), bytes);
                             m_events.after(queued, [complete, changes] { complete(changes); });
                         });
}

bool emulated_platform::is_final(const std::string& job) const {
    return m_final.contains(job);
}

bool emulated_platform::save(std::uint64_t fence, const dispatch::save_batch& batch) {
    if (fence != m_owner_fence) {
        return false;
    }
    ++m_revision;
    for (const auto& record : batch.jobs) {
        m_progress[record.job] = record.progress;
        if (record.final) {
            m_jobs.erase(record.job);
            m_cancels.erase(record.job);
            m_final.insert(record.job);
            m_observer.on_job_ended(record.job,
                                    dispatch::read_progress(record.job, record.progress).state);
        }
    }
    if (!batch.workers.empty()) {
        m_worker_record = batch.workers;
    }
    return true;
}

void emulated_platform::elect() {
    if (m_first_workers == 0) {
        m_first_workers = m_fleet.workers().size();
    }
    const auto election = ++m_election;
    if (!store_up()) {
        m_events.after(election_retry, [this, election] {
            if (election == m_election) {
                elect();
            }
        });
        return;
    }
    m_owner_fence = ++m_revision;
    // The watch on the jobs reports the change of owner before any job accepted after it.
    m_job_changes.append([fence = m_owner_fence](emulated_owner& owner) {
        if (owner.fence() < fence) {
            owner.end();
        }
    });
    m_loading_since = now();
    m_events.after(m_settings.load_delay + m_store.extra_delay(now()), [this, election] {
        if (election == m_election) {
            begin_term();
        }
    });
}

void emulated_platform::begin_term() {
    m_owner_sends = {};
    m_owner_receives = {};
    auto settings = m_settings.dispatcher;
    settings.owner = owner_name(m_owner_fence);
    m_owner = std::make_unique<emulated_owner>(*this, m_owner_fence, settings);
    auto& engine = m_owner->engine();
    engine.on_queues(m_queues);
    engine.on_customers(m_customers);
    for (const auto& [id, link] : m_links) {
        if (link.listed) {
            auto report = m_fleet.find(id)->report;
            report.clock_ms = m_fleet.find(id)->clock_ms(now());
            engine.on_worker(now(), report);
        }
    }
    engine.take_over(now(), m_owner_fence, m_worker_record);
    for (const auto& [id, job] : m_jobs) {
        const auto progress = m_progress.find(id);
        engine.on_job(now(), job.spec,
                      progress == m_progress.end() ? dispatch::job_progress{}
                                                   : dispatch::read_progress(id, progress->second),
                      job.revision);
    }
    for (const auto& id : m_cancels) {
        engine.on_cancel(now(), id);
    }
    m_owner->start_watches(m_job_changes.size(), m_worker_changes.size(), m_loading_since);
    m_owner->request_pump();
}

void emulated_platform::replace_owner(common::duration after) {
    if (m_owner) {
        m_replaced_owners.push_back(std::move(m_owner));
    }
    const auto election = ++m_election;
    m_events.after(after, [this, election] {
        if (election == m_election) {
            elect();
        }
    });
}

void emulated_platform::kill_owner() {
    if (m_owner) {
        m_owner->end();
        replace_owner(m_settings.owner_lease);
    }
}

void emulated_platform::stop_owner() {
    if (m_owner) {
        m_owner->end();
        replace_owner(m_settings.handover_delay);
    }
}

void emulated_platform::freeze_owner(common::duration length) {
    if (!m_owner) {
        return;
    }
    m_owner->freeze_until(now() + length);
    if (length > m_settings.owner_lease) {
        replace_owner(m_settings.owner_lease);
    }
}

void emulated_platform::slow_owner(common::duration length, double factor) {
    if (m_owner) {
        m_owner->slow_down(factor, length);
    }
}

void emulated_platform::isolate_owner(const std::set<std::string>& workers, common::duration length,
                                      bool store) {
    if (!m_owner || now() < m_partition.until) {
        return;
    }
    m_partition = {m_owner->fence(), workers, now() + length, false};
    if (store) {
        for (const auto& id : workers) {
            cut_from_store(id, m_partition.until);
        }
    }
    if (length > m_settings.owner_lease) {
        replace_owner(m_settings.owner_lease);
    }
}

void emulated_platform::revoke_key(const std::set<std::string>& workers, common::duration length) {
    if (!m_owner) {
        return;
    }
    if (!workers.empty() && now() >= m_partition.until) {
        m_partition = {m_owner->fence(), workers, now() + length, true};
    }
    replace_owner(m_settings.handover_delay);
}

bool emulated_platform::is_separated(std::uint64_t fence, const std::string& worker,
                                     bool through_peer) const {
    if (now() >= m_partition.until) {
        return false;
    }
    const bool own = fence == m_partition.fence;
    return own != m_partition.workers.contains(worker) || (own && through_peer);
}

void emulated_platform::limit_owner_link(common::duration length, std::size_t bytes_per_second) {
    m_owner_sends.limit(now() + length, bytes_per_second);
    m_owner_receives.limit(now() + length, bytes_per_second);
}

void emulated_platform::publish(const std::string& id) {
    auto& link = m_links[id];
    link.listed = true;
    const auto& worker = *m_fleet.find(id);
    auto report = worker.report;
    report.clock_ms = worker.clock_ms(now());
    m_worker_changes.append(
        [this, report](emulated_owner& owner) { owner.engine().on_worker(now(), report); });
    if (report.draining && acknowledges_changes()) {
        m_observer.on_drain_acknowledged(worker);
    }
}

void emulated_platform::withdraw(const std::string& id) {
    m_links[id].listed = false;
    m_worker_changes.append(
        [this, id](emulated_owner& owner) { owner.engine().on_worker_unlisted(now(), id); });
}

void emulated_platform::crash_worker(const std::string& id, common::duration length) {
    m_fleet.crash(now(), id);
    m_events.after(m_settings.list_timeout, [this, id] {
        if (!m_fleet.find(id)->up) {
            withdraw(id);
        }
    });
    m_events.after(length, [this, id] {
        m_fleet.restart(now(), id);
        publish(id);
    });
}

void emulated_platform::drain_worker(const std::string& id) {
    auto& worker = *m_fleet.find(id);
    if (!worker.up) {
        return;
    }
    worker.report.draining = true;
    // A report that the store does not receive now is repeated at the report interval.
    if (store_up() && now() >= m_links[id].store_cut_until) {
        publish(id);
    }
}

void emulated_platform::set_capacity(const std::string& id, const placement::resources& capacity) {
    auto& worker = *m_fleet.find(id);
    worker.former_capacity = worker.report.capacity;
    worker.capacity_changed_at = now();
    worker.report.capacity = capacity;
    if (store_up() && worker.up && m_links[id].listed) {
        publish(id);
    }
}

void emulated_platform::shrink_worker(const std::string& id, common::duration length,
                                      std::int64_t percent) {
    const auto full = m_fleet.find(id)->report.capacity;
    set_capacity(id, {full.cpu_milli * percent / 100, full.memory_mb * percent / 100,
                      full.accelerators * percent / 100});
    m_events.after(length, [this, id, full] { set_capacity(id, full); });
}

void emulated_platform::cut_worker(const std::string& id, common::duration length, bool store) {
    auto& link = m_links[id];
    link.cut_until = std::max(link.cut_until, now() + length);
    if (!store) {
        return;
    }
    cut_from_store(id, link.cut_until);
}

// The entry in the instance list ends while the worker cannot renew it.
void emulated_platform::cut_from_store(const std::string& id, common::time_point until) {
    m_links[id].store_cut_until = until;
    const auto length = until - now();
    if (length > m_settings.list_timeout) {
        m_events.after(m_settings.list_timeout, [this, id] { withdraw(id); });
        m_events.after(length, [this, id] { publish(id); });
    }
}

void emulated_platform::delay_orders(const std::string& id, common::duration length,
                                     common::duration by) {
    m_links[id].delayed_until = now() + length;
    m_links[id].extra_delay = by;
}

void emulated_platform::lose_answers(const std::string& id, common::duration length) {
    m_links[id].answers_lost_until = now() + length;
}

void emulated_platform::lose_entry(const std::string& id, common::duration length) {
    withdraw(id);
    m_events.after(length, [this, id] {
        if (m_fleet.find(id)->up) {
            publish(id);
        }
    });
}

void emulated_platform::stop_store(common::duration length) {
    m_store.down_until = std::max(m_store.down_until, now() + length);
    m_store_unstable_until = std::max(m_store_unstable_until, m_store.down_until);
    m_job_changes.drop_calls();
    m_worker_changes.drop_calls();
}

void emulated_platform::slow_store(common::duration length, common::duration by) {
    m_store.slow_until = now() + length;
    m_store.slowness = by;
    if (by > store_call_timeout) {
        // Callers cannot tell this from an outage.
        m_store_unstable_until = std::max(m_store_unstable_until, m_store.slow_until);
    }
}

void emulated_platform::delay_watch(watched_prefix prefix, common::duration length,
                                    common::duration by) {
    log_of(prefix).delay_answers(length, by);
}

void emulated_platform::hold_back_changes(watched_prefix prefix, common::duration length,
                                          common::duration by) {
    log_of(prefix).hold_back_changes(length, by);
}

template <typename Result, typename Execute>
void emulated_platform::call_worker(std::uint64_t fence, const std::string& id,
                                    common::duration timeout, Execute execute,
                                    std::function<void(Result)> complete, bool through_peer) {
    auto pending = std::make_shared<std::function<void(Result)>>(std::move(complete));
    const auto finish = [pending](Result result) {
        if (*pending) {
            std::exchange(*pending, nullptr)(std::move(result));
        }
    };
    m_events.after(timeout, [finish] { finish(Result{}); });
    const auto& link = m_links[id];
    const auto is_cut = [this, fence, id, through_peer] {
        const auto& state = m_links[id];
        if (is_separated(fence, id, through_peer)) {
            return true;
        }
        return now() < (through_peer ? state.store_cut_until : state.cut_until);
    };
    if (is_cut()) {
        return;
    }
    const bool late = now() < link.delayed_until;
    const bool answered = !late && (through_peer || now() >= link.answers_lost_until);
    const auto extra_delay = late ? link.extra_delay : common::duration(0);
    const auto queued = m_owner_sends.send(now(), message_bytes);
    const auto receiver_at_sending = m_fleet.find(id)->report.start_time_ms;
    m_events.after(queued + delay(), [this, id, execute, answered, finish, extra_delay, is_cut,
                                      queued, receiver_at_sending] {
        const auto* const worker = m_fleet.find(id);
        if (worker == nullptr || !worker->up) {
            if (worker != nullptr && worker->refuses_connections) {
                m_events.after(delay(), [finish] {
                    Result refused;
                    refused.status = dispatch::order_status::not_sent;
                    finish(std::move(refused));
                });
            }
            return;
        }
        if (queued.count() > 0 && worker->report.start_time_ms != receiver_at_sending) {
            // What waits for the link is lost with the connection when the worker restarts.
            return;
        }
        const auto incarnation = worker->report.start_time_ms;
        const auto deliver = [this, id, execute, answered, finish, incarnation, is_cut] {
            const auto& receiver = *m_fleet.find(id);
            if (!receiver.up || receiver.report.start_time_ms != incarnation) {
                // A pending call is lost when the worker crashes or restarts.
                return;
            }
            const auto result = execute(now());
            if (answered && !is_cut()) {
                const auto answer_queued = m_owner_receives.send(now(), message_bytes);
                m_events.after(answer_queued + delay(), [finish, result] { finish(result); });
            }
        };
        if (extra_delay.count() == 0) {
            deliver();
        } else {
            m_events.after(extra_delay, deliver);
        }
    });
}

void emulated_platform::start(const dispatch::start_order& order,
                              std::function<void(dispatch::order_result)> complete) {
    call_worker<dispatch::order_result>(
        order.fence, order.worker, order_timeout,
        [this, order](common::time_point time) { return m_fleet.start(time, order); },
        std::move(complete));
}

void emulated_platform::stop(const dispatch::stop_order& order,
                             std::function<void(dispatch::order_result)> complete) {
    call_worker<dispatch::order_result>(
        order.fence, order.worker, order_timeout,
        [this, order](common::time_point time) { return m_fleet.stop(time, order); },
        std::move(complete));
}

void emulated_platform::poll_through_peer(const dispatch::poll_order& order,
                                          std::function<void(dispatch::poll_result)> complete) {
    call_worker<dispatch::poll_result>(
        order.fence, order.worker, poll_slack,
        [this, order](common::time_point time) { return m_fleet.poll(time, order); },
        [complete = std::move(complete)](dispatch::poll_result result) {
            result.silence_confirmed = result.status == dispatch::order_status::no_answer ||
                                       result.status == dispatch::order_status::not_sent;
            complete(std::move(result));
        },
        true);
}

void emulated_platform::poll(const dispatch::poll_call& call,
                             std::function<void(dispatch::poll_result)> complete) {
    const auto& order = call.order;
    if (call.through_peer) {
        poll_through_peer(order, std::move(complete));
        return;
    }
    if (order.wait.count() == 0) {
        call_worker<dispatch::poll_result>(
            order.fence, order.worker, poll_slack,
            [this, order](common::time_point time) { return m_fleet.poll(time, order); },
            std::move(complete));
        return;
    }
    // The first part of the call renews the lease; the second part responds when a run ends.
    auto shared = std::make_shared<std::function<void(dispatch::poll_result)>>(std::move(complete));
    call_worker<dispatch::poll_result>(
        order.fence, order.worker, order.wait + poll_slack,
        [this, order](common::time_point time) { return m_fleet.poll(time, order); },
        [this, order, shared](dispatch::poll_result result) {
            if (result.status != dispatch::order_status::accepted || !result.ended.empty()) {
                (*shared)(std::move(result));
                return;
            }
            m_pending_polls.push_back({order, now() + order.wait, *shared});
        });
}

void emulated_platform::answer_poll(const pending_poll& poll) {
    auto result = m_fleet.poll(now(), poll.order);
    const auto queued = m_owner_receives.send(now(), message_bytes);
    const auto limit = poll.until + poll_slack - now();
    if (queued.count() == 0) {
        poll.complete(std::move(result));
    } else if (queued > limit) {
        m_events.after(limit, [complete = poll.complete] { complete({}); });
    } else {
        m_events.after(
            queued, [complete = poll.complete, result = std::move(result)] { complete(result); });
    }
}

void emulated_platform::answer_polls() {
    std::vector<pending_poll> waiting;
    waiting.swap(m_pending_polls);
    for (auto& poll : waiting) {
        const auto& worker = *m_fleet.find(poll.order.worker);
        const bool unreachable = !worker.up || now() < m_links[poll.order.worker].cut_until ||
                                 is_separated(poll.order.fence, poll.order.worker, false);
        const bool reset = !worker.up && worker.refuses_connections;
        if (reset || (unreachable && now() >= poll.until + poll_slack)) {
            poll.complete({});
        } else if (!unreachable && (now() >= poll.until || !worker.ends.empty())) {
            answer_poll(poll);
        } else {
            m_pending_polls.push_back(std::move(poll));
        }
    }
}

} // namespace buckthornspar::emulation
