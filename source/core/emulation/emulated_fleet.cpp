#include "core/emulation/emulated_fleet.h"

#include <algorithm>

namespace buckthornspar::emulation {

using dispatch::order_result;
using dispatch::order_status;
using dispatch::run_end;
using dispatch::run_key;
using dispatch::task_key;

namespace {

// Share of the work after which a failing run fails.
constexpr double failure_share = 0.3;

// Members of a gang share their checkpoints.
task_key checkpoint_owner(const task_key& task, bool gang) {
    auto owner = task;
    owner.index = gang ? 0 : task.index;
    return owner;
}

} // namespace

void fleet_observer::on_run_started(const emulated_worker&, const dispatch::start_order&) {}
void fleet_observer::on_run_ended(const emulated_worker&, const dispatch::ended_run&) {}
void fleet_observer::on_ends_acknowledged(const emulated_worker&, std::uint64_t) {}
void fleet_observer::on_lease_lapsed(const emulated_worker&) {}
void fleet_observer::on_run_crashed(const emulated_worker&, const run_key&, bool) {}

placement::resources emulated_worker::used() const {
    placement::resources sum;
    for (const auto& entry : runs) {
        sum += entry.second.demand;
    }
    return sum;
}

std::int64_t emulated_worker::clock_ms(common::time_point now) const {
    return clock_offset_ms + static_cast<std::int64_t>(
                                 clock_rate * static_cast<double>(common::to_milliseconds(now)));
}

emulated_fleet::emulated_fleet(fleet_settings settings, fleet_observer& observer,
                               std::uint64_t seed)
    : m_settings(settings), m_observer(observer), m_rng(seed) {}

emulated_worker& emulated_fleet::add(common::time_point now,
                                     const dispatch::worker_report& report) {
    auto& worker = m_workers[report.id];
    worker.report = report;
    worker.report.start_time_ms = 1 + common::to_milliseconds(now);
    // Each incarnation has a new clock.
    worker.clock_rate = 1.0 - 0.02 * m_rng.unit();
    worker.clock_offset_ms =
        static_cast<std::int64_t>(m_rng.below(5000)) - common::to_milliseconds(now);
    return worker;
}

void emulated_fleet::add_job(const dispatch::job_spec& spec, const std::vector<double>& work_ms) {
    m_jobs[spec.id] = {spec, work_ms};
}

emulated_worker* emulated_fleet::find(const std::string& worker) {
    const auto position = m_workers.find(worker);
    return position == m_workers.end() ? nullptr : &position->second;
}

const dispatch::job_spec* emulated_fleet::job(const std::string& id) const {
    const auto position = m_jobs.find(id);
    return position == m_jobs.end() ? nullptr : &position->second.spec;
}

const dispatch::step_spec* emulated_fleet::step_of(const task_key& task) const {
    const auto* const spec = job(task.job);
    return spec != nullptr && task.step < spec->steps.size() ? &spec->steps[task.step] : nullptr;
}

bool emulated_fleet::has_issued_checkpoint(const task_key& task,
                                           const std::string& checkpoint) const {
    const auto* const step = step_of(task);
    return checkpoint.empty() ||
           (step != nullptr &&
            m_issued_checkpoints.contains({checkpoint_owner(task, step->gang), checkpoint}));
}

emulated_fleet::gang_key emulated_fleet::gang_of(const run_key& run) {
    auto gang = run;
    gang.task.index = 0;
    return gang;
}

std::vector<std::string> emulated_fleet::workers_to_crash(common::time_point now) const {
    std::vector<std::string> result;
    for (const auto& [id, worker] : m_workers) {
        const bool crashes =
            std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
                return m_deadly.contains(entry.first.task) &&
                       now >= entry.second.started + m_settings.crash_delay;
            });
        if (worker.up && crashes) {
            result.push_back(id);
        }
    }
    return result;
}

order_result emulated_fleet::start(common::time_point now, const dispatch::start_order& order) {
    auto& worker = m_workers.at(order.worker);
    const auto clock = worker.clock_ms(now);
    const auto* const step = step_of(order.run.task);
    if (order.fence < worker.fence) {
        return {order_status::stale_fence, clock};
    }
    worker.fence = order.fence;
    if (step == nullptr || order.run.task.index >= step->count) {
        return {order_status::rejected, clock};
    }
    if (worker.runs.contains(order.run)) {
        return {order_status::accepted, clock};
    }
    const auto last_closed = worker.closed_runs.find(order.run.task);
    if (last_closed != worker.closed_runs.end() && order.run.run <= last_closed->second) {
        return {order_status::old_run, clock};
    }
    if (clock > order.valid_until_ms && m_settings.refuses_late_starts) {
        return {order_status::too_late, clock};
    }
    worker.lease_until_ms = std::max(
        worker.lease_until_ms,
        std::min(order.valid_until_ms, clock + common::to_milliseconds(m_settings.max_lease)));
    emulated_run run;
    run.demand = step->allocation();
    run.started = now;
    run.work_ms = m_jobs.at(order.run.task.job).work_ms.at(order.run.task.step);
    run.fails = worker.fails;
    run.checkpoint = order.checkpoint;
    if (!order.checkpoint.empty()) {
        run.done_ms = std::stod(order.checkpoint.substr(order.checkpoint.find('|') + 1));
        run.checkpoint_ms = run.done_ms;
    }
    worker.runs.emplace(order.run, run);
    if (step->gang) {
        m_gangs[gang_of(order.run)][order.run.task.index] = order.worker;
    }
    m_observer.on_run_started(worker, order);
    return {order_status::accepted, clock};
}

order_result emulated_fleet::stop(common::time_point now, const dispatch::stop_order& order) {
    auto& worker = m_workers.at(order.worker);
    const auto clock = worker.clock_ms(now);
    if (order.fence < worker.fence) {
        return {order_status::stale_fence, clock};
    }
    worker.fence = order.fence;
    auto& last_closed = worker.closed_runs[order.run.task];
    last_closed = std::max(last_closed, order.run.run);
    const auto position = worker.runs.find(order.run);
    if (position != worker.runs.end() && !position->second.stop_at) {
        position->second.stop_at = now + m_settings.stop_delay;
    }
    return {order_status::accepted, clock};
}

dispatch::poll_result emulated_fleet::poll(common::time_point now,
                                           const dispatch::poll_order& order) {
    auto& worker = m_workers.at(order.worker);
    dispatch::poll_result result;
    result.clock_ms = worker.clock_ms(now);
    result.start_time_ms = worker.report.start_time_ms;
    if (order.fence < worker.fence) {
        result.status = order_status::stale_fence;
        return result;
    }
    worker.fence = order.fence;
    result.status = order_status::accepted;
    worker.lease_until_ms =
        std::max(worker.lease_until_ms,
                 std::min(order.valid_until_ms,
                          result.clock_ms + common::to_milliseconds(m_settings.max_lease)));
    if (order.ends_saved > worker.acknowledged_end) {
        worker.acknowledged_end = order.ends_saved;
        m_observer.on_ends_acknowledged(worker, order.ends_saved);
        std::erase_if(worker.ends, [&order](const dispatch::ended_run& run) {
            return run.number <= order.ends_saved;
        });
    }
    for (const auto& [run, live] : worker.runs) {
        result.running.push_back({run, live.checkpoint, live.percent()});
    }
    const auto listed = std::min(worker.ends.size(), dispatch::max_listed_ends);
    result.ended.assign(worker.ends.begin(),
                        worker.ends.begin() + static_cast<std::ptrdiff_t>(listed));
    return result;
}

void emulated_fleet::crash(common::time_point now, const std::string& id) {
    auto& worker = m_workers.at(id);
    worker.up = false;
    const auto runs = worker.runs;
    worker.runs.clear();
    for (const auto& entry : runs) {
        const bool deadly = m_deadly.contains(entry.first.task) &&
                            now >= entry.second.started + m_settings.crash_delay;
        m_observer.on_run_crashed(worker, entry.first, deadly);
    }
    for (const auto& entry : runs) {
        const auto gang = m_gangs.find(gang_of(entry.first));
        if (gang == m_gangs.end()) {
            continue;
        }
        const auto members = gang->second;
        m_gangs.erase(gang);
        for (const auto& [index, worker_id] : members) {
            auto member = entry.first;
            member.task.index = index;
            end(now, m_workers.at(worker_id), member, run_end::broken);
        }
    }
}

void emulated_fleet::restart(common::time_point now, const std::string& id) {
    auto& worker = m_workers.at(id);
    if (worker.up) {
        crash(now, id);
    }
    auto report = worker.report;
    report.draining = false;
    worker = emulated_worker{};
    add(now, report);
}

void emulated_fleet::end(common::time_point now, emulated_worker& worker, const run_key& run,
                         run_end how) {
    const auto position = worker.runs.find(run);
    if (position == worker.runs.end()) {
        return;
    }
    auto& last_closed = worker.closed_runs[run.task];
    last_closed = std::max(last_closed, run.run);
    worker.ends.push_back({++worker.last_end, run, how, position->second.checkpoint});
    worker.runs.erase(position);
    m_observer.on_run_ended(worker, worker.ends.back());
    const auto gang = m_gangs.find(gang_of(run));
    if (gang == m_gangs.end()) {
        return;
    }
    auto members = gang->second;
    members.erase(run.task.index);
    if (how == run_end::alone) {
        // The other members keep waiting until their own timeout.
        gang->second = members;
        return;
    }
    m_gangs.erase(gang);
    for (const auto& [index, worker_id] : members) {
        auto member = run;
        member.task.index = index;
        end(now, m_workers.at(worker_id), member,
            how == run_end::succeeded ? run_end::succeeded : run_end::broken);
    }
}

void emulated_fleet::end_due_runs(common::time_point now, emulated_worker& worker) {
    const bool lapsed = worker.clock_ms(now) > worker.lease_until_ms;
    if (lapsed && !worker.lapsed) {
        m_observer.on_lease_lapsed(worker);
    }
    worker.lapsed = lapsed;
    std::vector<std::pair<run_key, run_end>> due;
    for (const auto& [run, live] : worker.runs) {
        if (lapsed) {
            due.emplace_back(run, run_end::lapsed);
        } else if (live.stop_at && now >= *live.stop_at) {
            due.emplace_back(run, run_end::stopped);
        } else if (live.fails && live.done_ms >= failure_share * live.work_ms) {
            due.emplace_back(run, run_end::failed);
        }
    }
    for (const auto& [run, how] : due) {
        end(now, worker, run, how);
    }
}

void emulated_fleet::work(emulated_run& run, const run_key& key, double ms) {
    const auto& step = *step_of(key.task);
    run.done_ms = std::min(run.work_ms, run.done_ms + ms);
    if (step.checkpointing &&
        run.done_ms >= run.checkpoint_ms + static_cast<double>(common::to_milliseconds(
                                               m_settings.checkpoint_interval))) {
        run.checkpoint_ms = run.done_ms;
        run.checkpoint = dispatch::to_string(checkpoint_owner(key.task, step.gang)) + "|" +
                         std::to_string(run.done_ms);
        m_issued_checkpoints.emplace(checkpoint_owner(key.task, step.gang), run.checkpoint);
    }
}

void emulated_fleet::progress(common::time_point now, double elapsed_ms) {
    for (auto& [id, worker] : m_workers) {
        std::vector<run_key> done;
        for (auto& [key, run] : worker.runs) {
            if (step_of(key.task)->gang) {
                continue;
            }
            if (!worker.hangs) {
                work(run, key, elapsed_ms * worker.speed);
            }
            if (run.done_ms >= run.work_ms) {
                done.push_back(key);
            }
        }
        for (const auto& key : done) {
            end(now, worker, key, run_end::succeeded);
        }
    }
    std::vector<gang_key> gangs;
    for (const auto& entry : m_gangs) {
        gangs.push_back(entry.first);
    }
    for (const auto& gang : gangs) {
        progress_gang(now, elapsed_ms, gang);
    }
}

void emulated_fleet::progress_gang(common::time_point now, double elapsed_ms,
                                   const gang_key& gang) {
    const auto found = m_gangs.find(gang);
    if (found == m_gangs.end()) {
        return;
    }
    const auto members = found->second;
    const bool present = members.size() == step_of(gang.task)->count;
    double speed = 1.0;
    for (const auto& entry : members) {
        const auto& worker = m_workers.at(entry.second);
        speed = std::min(speed, worker.hangs ? 0.0 : worker.speed);
    }
    for (const auto& [index, worker_id] : members) {
        auto key = gang;
        key.task.index = index;
        auto& worker = m_workers.at(worker_id);
        const auto position = worker.runs.find(key);
        if (position == worker.runs.end()) {
            continue;
        }
        auto& run = position->second;
        if (!present) {
            if (now > run.started + m_settings.gang_wait) {
                end(now, worker, key, run_end::alone);
            }
            continue;
        }
        work(run, key, elapsed_ms * speed);
        if (run.done_ms >= run.work_ms) {
            end(now, worker, key, run_end::succeeded);
            return;
        }
    }
}

void emulated_fleet::advance(common::time_point now) {
    const auto elapsed = std::chrono::duration<double, std::milli>(now - m_now).count();
    m_now = now;
    for (auto& entry : m_workers) {
        if (entry.second.up) {
            end_due_runs(now, entry.second);
        }
    }
    progress(now, elapsed);
}

} // namespace buckthornspar::emulation
