#include "core/dispatch/worker_registry.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace buckthornspar::dispatch {

namespace {

// Progress in percent from which the remaining time is extrapolated; below it the submitter's
// estimate is more accurate.
constexpr int min_extrapolation_percent = 4;
// Clocks are read, and intervals computed, in whole milliseconds.
constexpr std::int64_t clock_rounding_ms = 2;

} // namespace

void placed_run::update_progress(common::time_point now, int reported) {
    if (first_percent < 0) {
        first_percent = reported;
        first_percent_at = now;
    }
    if (reported <= percent) {
        return;
    }
    percent = reported;
    percent_at = now;
    const auto done = percent - first_percent;
    if (done >= min_extrapolation_percent) {
        expected_end = now + (now - first_percent_at) * (100 - percent) / done;
    }
}

worker_registry::update worker_registry::upsert(common::time_point now,
                                                const worker_report& report) {
    auto [position, added] = m_workers.try_emplace(report.id);
    worker_entry& worker = position->second;
    if (added) {
        worker.slot = static_cast<worker_slot>(m_slots.size());
        m_slots.push_back(&worker);
    }
    if (!added && report.start_time_ms != 0 && worker.report.start_time_ms != 0 &&
        report.start_time_ms < worker.report.start_time_ms) {
        update result;
        result.ambiguous = true;
        return result;
    }
    return apply(now, report, added);
}

worker_registry::update worker_registry::upsert_answering(common::time_point now,
                                                          const worker_report& report) {
    return apply(now, report, false);
}

worker_registry::update worker_registry::apply(common::time_point now, const worker_report& report,
                                               bool added) {
    auto& worker = m_workers.at(report.id);
    update result;
    result.added = added;
    result.restarted = !added && report.start_time_ms != 0 && worker.report.start_time_ms != 0 &&
                       report.start_time_ms != worker.report.start_time_ms;
    result.capacity_changed =
        !added && !result.restarted && report.capacity != worker.report.capacity;
    result.draining_changed = !added && report.draining != worker.report.draining;
    if (result.restarted) {
        result.was_draining = worker.report.draining;
        if (worker.poll_failures > 0) {
            result.was_silent_since = worker.silent_since;
        }
        result.was_cut_off = !worker.reachable && !worker.connection_refused;
        worker_entry reset;
        reset.slot = worker.slot;
        assume_stale_lease(now, worker, reset);
        reset.runs = std::move(worker.runs);
        reset.allocated = worker.allocated;
        reset.reserved = worker.reserved;
        reset.kinds = worker.kinds;
        reset.open_orders = worker.open_orders;
        reset.pending_suspects = std::move(worker.pending_suspects);
        worker = std::move(reset);
        for (auto& entry : worker.runs) {
            auto& placed = entry.second;
            placed.uncertain = true;
            placed.phase = run_phase::stopping;
            placed.confirmed_clock_ms = 0;
            // A start in transit carries a time on the clock of the former incarnation, which does
            // not determine when this incarnation refuses it.
            placed.start_valid_until_ms = std::numeric_limits<std::int64_t>::max();
        }
    }
    if (added || result.restarted) {
        worker.incarnation_known_at = now;
    }
    if (added || result.restarted || report.clock_ms != worker.report.clock_ms) {
        worker.reported_at = now;
        result.reported = !added && !result.restarted;
    }
    worker.report = report;
    worker.listed = true;
    worker.described = true;
    if ((added || result.restarted) && report.clock_ms != 0) {
        update_clock(worker, now, report.clock_ms);
    }
    return result;
}

void worker_registry::set_unlisted(common::time_point now, const std::string& id) {
    if (auto* const worker = find(id); worker != nullptr && worker->listed) {
        worker->listed = false;
        worker->unlisted_since = now;
    }
}

void worker_registry::erase(const std::string& id) {
    const auto position = m_workers.find(id);
    if (position != m_workers.end()) {
        m_slots[position->second.slot] = nullptr;
        m_workers.erase(position);
    }
}

worker_entry* worker_registry::find(const std::string& id) {
    const auto position = m_workers.find(id);
    return position == m_workers.end() ? nullptr : &position->second;
}

const worker_entry* worker_registry::find(const std::string& id) const {
    const auto position = m_workers.find(id);
    return position == m_workers.end() ? nullptr : &position->second;
}

std::int64_t worker_registry::estimate_clock_ms(const worker_entry& worker,
                                                common::time_point now) const {
    const auto elapsed = static_cast<double>(common::to_milliseconds(now - worker.clock_at));
    return worker.clock_ms + static_cast<std::int64_t>(elapsed * (1.0 - m_settings.clock_drift));
}

bool worker_registry::is_of_next_incarnation(const worker_entry& worker, common::time_point after,
                                             std::int64_t clock_ms) const {
    const auto drift = after < worker.clock_at ? m_settings.clock_drift : -m_settings.clock_drift;
    const auto elapsed = static_cast<double>(common::to_milliseconds(after - worker.clock_at));
    const auto least = worker.clock_ms + static_cast<std::int64_t>(elapsed * (1.0 + drift));
    return worker.clock_ms != 0 && clock_ms + clock_rounding_ms < least;
}

void worker_registry::update_clock(worker_entry& worker, common::time_point now,
                                   std::int64_t clock_ms) {
    // Responses on different connections may arrive out of order.
    if (worker.clock_ms == 0 || clock_ms > estimate_clock_ms(worker, now)) {
        worker.clock_ms = clock_ms;
        worker.clock_at = now;
    }
}

common::duration worker_registry::longest(common::duration lease) const {
    return common::duration(static_cast<common::duration::rep>(
        static_cast<double>(lease.count()) * (1.0 + 1.5 * m_settings.clock_drift)));
}

void worker_registry::extend_lease_end(worker_entry& worker, common::time_point now,
                                       common::duration lease) const {
    worker.lease_end = std::max(worker.lease_end, now + longest(lease));
}

void worker_registry::note_open_lease(const std::string& worker, common::time_point sent_at) {
    auto& sent = m_open_orders[worker].lease_sent_at;
    sent = std::max(sent.value_or(sent_at), sent_at);
}

void worker_registry::forget_open_orders(common::time_point now) {
    const auto oldest = now - m_settings.order_delay;
    for (auto position = m_open_orders.begin(); position != m_open_orders.end();) {
        auto& [starts, lease_sent_at] = position->second;
        std::erase_if(starts, [&](const auto& start) {
            const bool over = start.second.sent_at < oldest;
            if (over) {
                refund(start.second);
            }
            return over;
        });
        if (lease_sent_at && *lease_sent_at < oldest) {
            lease_sent_at.reset();
        }
        const bool empty = starts.empty() && !lease_sent_at;
        position = empty ? m_open_orders.erase(position) : std::next(position);
    }
}

// The end of a lease on the clock of the former incarnation is far ahead of the new clock, so that
// the new incarnation takes it for the longest lease. The owner counts on that until no such order
// can arrive any more. A successor counts on the usual lease only; therefore nothing is started
// while a lease from an order without an unusual delay may outlast the usual one.
void worker_registry::assume_stale_lease(common::time_point now, const worker_entry& former,
                                         worker_entry& worker) {
    const auto& id = former.report.id;
    const bool start_pending =
        std::any_of(former.runs.begin(), former.runs.end(), [](const auto& entry) {
            return entry.second.open_orders > entry.second.unanswered_orders;
        });
    if ((former.poll_pending && former.poll_renews) || start_pending) {
        note_open_lease(id, now);
    }
    const auto open = m_open_orders.find(id);
    if (open == m_open_orders.end() || !open->second.lease_sent_at) {
        return;
    }
    const auto sent_at = *open->second.lease_sent_at;
    assume_longest_lease(worker, sent_at + m_settings.call_limit);
    extend_lease_end(worker, sent_at + m_settings.order_delay, m_settings.max_lease);
}

void worker_registry::assume_longest_lease(worker_entry& worker,
                                           common::time_point arrived_at) const {
    extend_lease_end(worker, arrived_at, m_settings.max_lease);
    worker.stale_lease_until =
        std::max(worker.stale_lease_until,
                 arrived_at + longest(m_settings.max_lease) - longest(m_settings.lease));
}

std::int64_t worker_registry::grant_lease(worker_entry& worker, common::time_point now) const {
    if (worker.clock_ms == 0) {
        return 0;
    }
    extend_lease_end(worker, now, m_settings.lease);
    return estimate_clock_ms(worker, now) + common::to_milliseconds(m_settings.lease);
}

std::int64_t worker_registry::grant_start_validity(worker_entry& worker, common::time_point now,
                                                   common::duration validity) const {
    extend_lease_end(worker, now, validity);
    return estimate_clock_ms(worker, now) + common::to_milliseconds(validity);
}

placed_run& worker_registry::place(worker_entry& worker, const run_key& run,
                                   const placement::resources& demand, common::time_point now,
                                   customers::customer_index customer) {
    auto [position, added] = worker.runs.try_emplace(run);
    placed_run& placed = position->second;
    if (added) {
        ++m_run_count;
        ++m_runs_of_jobs[run.task.job];
        placed.demand = demand;
        placed.customer = customer;
        m_usage.charge(customer, demand);
        placed.ordered_at = now;
        placed.percent_at = now;
        worker.allocated += demand;
        worker.last_start_at = now;
    }
    return placed;
}

void worker_registry::release(worker_entry& worker, const run_key& run) {
    const auto position = worker.runs.find(run);
    if (position == worker.runs.end()) {
        return;
    }
    note_open_start(worker, run, position->second);
    note_released(position->first);
    m_usage.refund(position->second.customer, position->second.demand);
    worker.allocated -= position->second.demand;
    worker.kinds.remove(position->second.observed.kind);
    worker.runs.erase(position);
}

void worker_registry::note_released(const run_key& run) {
    --m_run_count;
    const auto job = m_runs_of_jobs.find(run.task.job);
    if (--job->second == 0) {
        m_runs_of_jobs.erase(job);
    }
}

std::size_t worker_registry::runs_of(const std::string& job) const {
    const auto found = m_runs_of_jobs.find(job);
    return found == m_runs_of_jobs.end() ? 0 : found->second;
}

void worker_registry::reserve(worker_entry& worker, const placement::resources& amount,
                              customers::customer_index customer) {
    worker.allocated += amount;
    worker.reserved += amount;
    m_reserved[customer] += amount;
    m_usage.charge(customer, amount);
}

void worker_registry::unreserve(worker_entry* worker, const placement::resources& amount,
                                customers::customer_index customer) {
    if (worker != nullptr) {
        worker->allocated -= amount;
        worker->reserved -= amount;
    }
    m_reserved[customer] -= amount;
    m_usage.refund(customer, amount);
}

void worker_registry::note_open_start(const worker_entry& worker, const run_key& run,
                                      const placed_run& placed) {
    if (placed.open_orders > 0) {
        auto& start = m_open_orders[worker.report.id].starts[run];
        refund(start);
        start = {placed.demand, placed.customer, placed.last_order_at, placed.open_orders};
        m_usage.charge(placed.customer, placed.demand);
    }
}

std::vector<run_key> worker_registry::place_open_starts(worker_entry& worker,
                                                        common::time_point now) {
    std::vector<run_key> placed_runs;
    const auto open = m_open_orders.find(worker.report.id);
    if (open == m_open_orders.end()) {
        return placed_runs;
    }
    for (const auto& [run, start] : std::exchange(open->second.starts, {})) {
        refund(start);
        if (now > start.sent_at + m_settings.order_delay || worker.runs.contains(run)) {
            continue;
        }
        const auto last_start_at = worker.last_start_at;
        auto& placed = place(worker, run, start.demand, now, start.customer);
        worker.last_start_at = last_start_at;
        placed.phase = run_phase::stopping;
        placed.uncertain = true;
        placed.abandoned = true;
        placed.crash_counted = true;
        placed.start_valid_until_ms = std::numeric_limits<std::int64_t>::max();
        placed.open_orders = start.orders;
        placed.unanswered_orders = start.orders;
        placed.last_order_at = start.sent_at;
        placed_runs.push_back(run);
    }
    return placed_runs;
}

bool worker_entry::has_uncertain_runs() const {
    return std::any_of(runs.begin(), runs.end(),
                       [](const auto& entry) { return entry.second.uncertain; });
}

std::size_t worker_entry::begun_runs() const {
    return static_cast<std::size_t>(std::count_if(
        runs.begin(), runs.end(), [](const auto& entry) { return entry.second.begun; }));
}

bool worker_entry::may_hold_runs() const {
    return !report.draining || !adopted || !runs.empty();
}

std::vector<lost_run> worker_registry::remove_runs(worker_entry& worker) {
    std::vector<lost_run> lost;
    lost.reserve(worker.runs.size());
    for (const auto& [run, placed] : worker.runs) {
        note_open_start(worker, run, placed);
        note_released(run);
        m_usage.refund(placed.customer, placed.demand);
        if (!placed.abandoned) {
            lost.push_back({run, placed.checkpoint, placed.begun});
        }
    }
    worker.runs.clear();
    worker.kinds = {};
    worker.allocated = worker.reserved;
    return lost;
}

bool worker_registry::is_of_unknown_demand(const worker_entry& worker, const run_key& run) {
    const auto placed = worker.runs.find(run);
    return placed != worker.runs.end() && placed->second.demand == unknown_demand;
}

std::optional<placement::resources> worker_registry::unknown_usage(const worker_entry& worker) {
    auto rest = worker.report.capacity;
    if (rest == placement::resources{}) {
        return std::nullopt;
    }
    for (const auto& [run, placed] : worker.runs) {
        if (placed.demand != unknown_demand) {
            rest -= placed.demand;
        }
    }
    return placement::resources{std::max<std::int64_t>(rest.cpu_milli, 0),
                                std::max<std::int64_t>(rest.memory_mb, 0),
                                std::max<std::int64_t>(rest.accelerators, 0)};
}

bool worker_registry::is_usage_consistent() const {
    std::vector<placement::resources> sums(m_usage.size());
    const auto add = [&sums](customers::customer_index customer,
                             const placement::resources& amount) {
        if (customer != customers::no_customer) {
            sums.at(customer) += amount;
        }
    };
    for (const auto& [id, worker] : m_workers) {
        for (const auto& [run, placed] : worker.runs) {
            add(placed.customer, placed.demand);
        }
    }
    for (const auto& [id, open] : m_open_orders) {
        for (const auto& [run, start] : open.starts) {
            add(start.customer, start.demand);
        }
    }
    for (const auto& [customer, amount] : m_reserved) {
        add(customer, amount);
    }
    for (customers::customer_index i = 0; i < sums.size(); ++i) {
        if (sums[i] != m_usage.used(i)) {
            return false;
        }
    }
    return true;
}

} // namespace buckthornspar::dispatch
