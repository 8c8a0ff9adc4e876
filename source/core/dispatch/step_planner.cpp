#include "core/dispatch/step_planner.h"

#include "core/dispatch/capacity_fit.h"
#include "core/dispatch/preemption.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace buckthornspar::dispatch {

namespace {

using placement::resources;

// Minimum remaining validity of a ticket that is used, so that the start arrives before it expires.
constexpr common::duration ticket_margin = std::chrono::milliseconds(60);
// Maximum number of blocked gangs with reservations. Reservations for more of them would leave the
// workers idle.
constexpr std::size_t max_reserved_gangs = 3;
// Declared durations are inaccurate: the estimates of tasks that backfill the gap before a planned
// start are multiplied by this factor.
constexpr double backfill_margin = 1.5;
// A run that has exceeded its estimate is expected to end this much later than now.
constexpr auto overrun_allowance = std::chrono::milliseconds(700);
// Maximum number of workers named in one ticket request. Fewer are named to a service that takes
// long for each worker, because the wait would cost more than the larger choice gains.
constexpr std::size_t max_advice_workers = 100;
constexpr std::size_t max_slow_advice_workers = 60;
constexpr double slow_advice_ms = 4.0;
// Other granted workers with free capacity that a renewal names besides those that a gang is
// planned on, as a share of these: some of the capacity is taken before the tickets arrive.
constexpr std::size_t min_spare_renewals = 3;
constexpr std::size_t spare_renewals_divisor = 3;
// A gang requests further workers until the total capacity of its granted workers is this multiple
// of its demand.
constexpr std::int64_t gang_capacity_factor = 3;
// Tickets for a planned start are requested this much earlier than the expected call time requires.
constexpr auto early_request_margin = std::chrono::milliseconds(250);
// Workers to name for each expected grant under a strict policy.
constexpr std::int64_t workers_named_per_grant = 4;
// Maximum number of concurrent ticket requests for one step; each occupies one node's connection to
// the service.
constexpr std::size_t max_parallel_calls = 3;
// Time within which a worker ends a stopped run.
constexpr common::duration stop_time = std::chrono::milliseconds(900);

// Capacity reserved on a worker for a gang with a planned start.
struct capacity_reservation {
    resources amount;
    common::time_point until;
};

// A worker on which a step may run, with its ticket if the queue requires one.
struct candidate {
    worker_slot worker = 0;
    const ticket_state* ticket = nullptr;
};

class planner {
public:
    planner(std::vector<worker_free_capacity> free_capacities, const plan_limits& limits,
            common::time_point now)
        : m_capacities(std::move(free_capacities)),
          m_reservations(m_capacities.size()),
          m_limits(limits),
          m_now(now) {}

    void plan(const waiting_step& step) {
        collect_candidates(step);
        if (step.spec->gang) {
            plan_gang(step);
            return;
        }
        plan_tasks(step);
    }

    [[nodiscard]] plan_result take() { return std::move(m_result); }

private:
    [[nodiscard]] bool eligible(const waiting_step& step,
                                const worker_free_capacity& capacity) const {
        if (capacity.worker == nullptr) {
            return false;
        }
        const auto& report = capacity.worker->report;
        return report.service == step.queue->service &&
               (step.spec->required_label.empty() ||
                report.labels.contains(step.spec->required_label)) &&
               m_demand.fits(report.capacity);
    }

    // Collects the workers that are known to be allowed by the queue's policy. Only these are
    // examined, because a plan covers hundreds of steps and workers.
    void collect_candidates(const waiting_step& step) {
        m_demand = step.spec->allocation();
        m_candidates.clear();
        if (!step.queue->needs_tickets) {
            for (worker_slot w = 0; w < m_capacities.size(); ++w) {
                if (eligible(step, m_capacities[w])) {
                    m_candidates.push_back({w, nullptr});
                }
            }
            return;
        }
        for (const auto& ticket : step.state->tickets.granted) {
            if (ticket.worker < m_capacities.size() &&
                eligible(step, m_capacities[ticket.worker])) {
                m_candidates.push_back({ticket.worker, &ticket});
            }
        }
    }

    [[nodiscard]] bool is_valid(const candidate& c) const {
        return c.ticket == nullptr || c.ticket->expires > m_now + ticket_margin;
    }

    // Free capacity that the step may use on the worker. Reservations of gangs are not available to
    // a step that does not end before the gang's start, unless the step has the most urgent
    // priority.
    [[nodiscard]] resources available_capacity(const waiting_step& step, worker_slot w) const {
        resources available = m_capacities[w].free;
        if (step.queue->priority == 0 || m_reservations[w].empty()) {
            return available;
        }
        const auto expected = std::chrono::milliseconds(step.spec->estimate_ms) * backfill_margin;
        const auto end = m_now + std::chrono::duration_cast<common::duration>(expected);
        for (const auto& reservation : m_reservations[w]) {
            if (end > reservation.until) {
                available -= reservation.amount;
            }
        }
        return available;
    }

    [[nodiscard]] std::int64_t remaining_tasks_on(const waiting_step& step, worker_slot w) const {
        if (step.spec->max_per_worker == 0) {
            return unlimited_tasks;
        }
        std::int64_t present = 0;
        for (const auto& task : step.state->tasks) {
            if (task.current && task.current->worker == m_capacities[w].worker->report.id) {
                ++present;
            }
        }
        const auto added = m_planned_tasks.find({step.step, w});
        if (added != m_planned_tasks.end()) {
            present += added->second;
        }
        return std::max<std::int64_t>(0, std::int64_t{step.spec->max_per_worker} - present);
    }

    // Whether this many further starts may be sent together. A gang that exceeds the limit by
    // itself need not wait until nothing is pending, which may never be the case beside other work.
    [[nodiscard]] bool may_start(std::size_t count) const {
        const auto pending = m_limits.pending_starts + m_result.starts.size();
        const auto most = m_limits.max_pending_starts;
        return pending + count <= most || (count > most && pending <= most / 4);
    }

    void start(const waiting_step& step, std::uint32_t index, worker_slot w, std::uint32_t run) {
        planned_start planned;
        planned.task = step.step;
        planned.task.index = index;
        planned.worker = w;
        planned.run = run;
        if (const auto* const ticket = step.state->tickets.find(w)) {
            planned.ticket = ticket->ticket;
        }
        m_capacities[w].free -= m_demand;
        m_started.insert(w);
        if (step.spec->max_per_worker != 0) {
            ++m_planned_tasks[{step.step, w}];
        }
        m_result.starts.push_back(std::move(planned));
    }

    void plan_tasks(const waiting_step& step) {
        std::size_t placed = 0;
        for (const auto index : step.tasks) {
            if (!may_start(1)) {
                // Tickets for starts that cannot be sent would expire unused.
                if (step.state->tickets.asked.empty()) {
                    request_tickets_for_tasks(step);
                }
                return;
            }
            const auto& task = step.state->tasks[index];
            if (task.is_suspected()) {
                placed += plan_suspect(step, index) ? 1 : 0;
                continue;
            }
            const auto worker = best_worker(step, task);
            if (!worker) {
                // All tasks of a step have the same demand, so no further one fits either.
                break;
            }
            start(step, index, *worker, task.progress.last_run + 1);
            ++placed;
        }
        if (placed < step.tasks.size()) {
            request_tickets_for_tasks(step);
        }
    }

    // Starts a task that may have crashed a worker. Nothing else is started on the worker at this
    // time, so that a further crash has no other cause. Of a step, one such task starts first.
    bool plan_suspect(const waiting_step& step, std::uint32_t index) {
        if (!step.state->probe_passed && std::exchange(m_probed_step, step.step) == step.step) {
            return false;
        }
        std::optional<worker_slot> best;
        for (const auto& c : m_candidates) {
            const auto* const worker = m_capacities[c.worker].worker;
            const bool settled =
                worker != nullptr && !m_started.contains(c.worker) &&
                worker->last_start_at + m_limits.suspect_distance <= worker->last_contact;
            if (!settled || !is_valid(c) || remaining_tasks_on(step, c.worker) == 0 ||
                !m_demand.fits(available_capacity(step, c.worker))) {
                continue;
            }
            // The least loaded worker loses the least by a crash.
            if (!best ||
                m_capacities[c.worker].free.cpu_milli > m_capacities[*best].free.cpu_milli) {
                best = c.worker;
            }
        }
        if (best) {
            start(step, index, *best, step.state->tasks[index].progress.last_run + 1);
            m_capacities[*best].worker = nullptr;
            std::erase_if(m_candidates, [&](const candidate& c) { return c.worker == *best; });
        }
        return best.has_value();
    }

    [[nodiscard]] std::optional<worker_slot> best_worker(const waiting_step& step,
                                                         const task_state& task) const {
        std::optional<worker_slot> best;
        std::tuple<bool, bool, bool, double> best_score;
        for (const auto& c : m_candidates) {
            const auto w = c.worker;
            if (!m_demand.fits(m_capacities[w].free) || !is_valid(c) ||
                !m_demand.fits(available_capacity(step, w)) || remaining_tasks_on(step, w) == 0) {
                continue;
            }
            const auto& report = m_capacities[w].worker->report;
            const bool distant =
                !step.spec->preferred_rack.empty() && report.rack != step.spec->preferred_rack;
            const std::tuple score{task.failed_on.contains(report.id), distant,
                                   !m_reservations[w].empty(),
                                   unused_share(m_capacities[w].free - m_demand, report.capacity)};
            if (!best || score < best_score) {
                best = w;
                best_score = score;
            }
        }
        return best;
    }

    [[nodiscard]] bool may_request_tickets(const waiting_step& step) const {
        const auto& tickets = step.state->tickets;
        return step.queue->needs_tickets && tickets.calls.empty() && m_now >= tickets.not_before;
    }

    void request_tickets_for_tasks(const waiting_step& step) {
        if (!may_request_tickets(step)) {
            return;
        }
        if (step.state->tickets.asked.empty()) {
            request_tickets_from_unasked(step, "first");
            return;
        }
        std::vector<worker_slot> renew;
        for (const auto& c : m_candidates) {
            if (!is_valid(c) && m_demand.fits(available_capacity(step, c.worker)) &&
                remaining_tasks_on(step, c.worker) > 0) {
                renew.push_back(c.worker);
            }
        }
        if (!renew.empty()) {
            add_ticket_requests(step, renew, "renew");
        } else if (m_candidates.empty()) {
            request_tickets_from_unasked(step, "more");
        }
    }

    [[nodiscard]] std::vector<worker_slot> unasked(const waiting_step& step) const {
        std::vector<worker_slot> result;
        for (worker_slot w = 0; w < m_capacities.size(); ++w) {
            if (!step.state->tickets.was_asked(w) && eligible(step, m_capacities[w])) {
                result.push_back(w);
            }
        }
        return result;
    }

    // Requests tickets for the workers with the most free processor capacity.
    void add_ticket_requests(const waiting_step& step, std::vector<worker_slot> workers,
                             std::string_view reason, std::size_t calls = 1) {
        if (workers.empty()) {
            return;
        }
        const auto count = std::min(workers.size(), max_workers_per_call(step) * calls);
        std::partial_sort(workers.begin(), workers.begin() + static_cast<std::ptrdiff_t>(count),
                          workers.end(), [this](worker_slot a, worker_slot b) {
                              return std::tuple(-m_capacities[a].free.cpu_milli, a) <
                                     std::tuple(-m_capacities[b].free.cpu_milli, b);
                          });
        // Distributes the workers over the calls so that each call names some of the best.
        for (std::size_t call = 0; call < calls && call < count; ++call) {
            std::vector<worker_slot> named;
            for (std::size_t i = call; i < count; i += calls) {
                named.push_back(workers[i]);
            }
            m_result.ticket_requests.push_back({step.step, step.queue, std::move(named), reason});
        }
    }

    void add_optional_requests(const waiting_step& step, std::vector<worker_slot> workers,
                               std::string_view reason, std::size_t calls) {
        const auto before = m_result.ticket_requests.size();
        add_ticket_requests(step, std::move(workers), reason,
                            std::min(calls, m_limits.optional_requests));
        m_limits.optional_requests -= m_result.ticket_requests.size() - before;
    }

    // Requests tickets for workers that have not been named yet. A gang needs many granted workers
    // at the same time, so they are named in concurrent calls by several nodes.
    void request_tickets_from_unasked(const waiting_step& step, std::string_view reason) {
        const auto workers = unasked(step);
        std::int64_t tasks_per_worker = 1;
        for (const auto w : workers) {
            tasks_per_worker =
                std::max(tasks_per_worker,
                         count_fitting_tasks(m_demand, m_capacities[w].worker->report.capacity));
        }
        std::size_t calls = 1;
        if (step.spec->gang) {
            const auto missing =
                gang_capacity_factor * static_cast<std::int64_t>(step.spec->count) -
                total_task_capacity(step);
            const auto named =
                std::max<std::int64_t>(1, missing) * workers_named_per_grant / tasks_per_worker;
            calls = std::clamp<std::size_t>(1 + static_cast<std::size_t>(named) /
                                                    max_workers_per_call(step),
                                            1, max_parallel_calls);
        }
        add_ticket_requests(step, workers, reason, calls);
    }

    [[nodiscard]] static common::duration call_time(const waiting_step& step, std::size_t workers) {
        return std::chrono::duration_cast<common::duration>(
            std::chrono::duration<double, std::milli>(step.queue->ticket_base_ms +
                                                      step.queue->ticket_per_worker_ms *
                                                          static_cast<double>(workers)));
    }

    // Keeps the tickets of a blocked gang valid, so that it starts as soon as it fits. Otherwise
    // the capacity would be reserved, and idle, while the tickets are requested.
    bool renew_expiring_tickets(const waiting_step& step) {
        const auto named_most = std::min(m_candidates.size(), max_workers_per_call(step));
        const auto expiry = m_now + call_time(step, named_most) + early_request_margin;
        std::vector<worker_slot> expiring;
        for (const auto& c : m_candidates) {
            if (c.ticket != nullptr && c.ticket->expires < expiry) {
                expiring.push_back(c.worker);
            }
        }
        if (expiring.empty()) {
            return false;
        }
        add_optional_requests(step, std::move(expiring), "fresh", 1);
        return true;
    }

    // A gang whose granted workers are busy asks about others that have room now.
    void request_tickets_from_free(const waiting_step& step) {
        if (m_limits.optional_requests == 0) {
            return;
        }
        std::int64_t missing = step.spec->count;
        for (const auto& c : m_candidates) {
            missing -= count_fitting_tasks(m_demand, available_capacity(step, c.worker));
        }
        std::vector<worker_slot> free;
        for (const auto w : unasked(step)) {
            if (m_demand.fits(available_capacity(step, w))) {
                free.push_back(w);
            }
        }
        const auto named =
            static_cast<std::size_t>(std::max<std::int64_t>(1, missing) * workers_named_per_grant);
        const auto calls =
            std::clamp<std::size_t>(1 + named / max_workers_per_call(step), 1, max_parallel_calls);
        add_optional_requests(step, std::move(free), "free", calls);
    }

    [[nodiscard]] static std::size_t max_workers_per_call(const waiting_step& step) {
        return step.queue->ticket_per_worker_ms > slow_advice_ms ? max_slow_advice_workers
                                                                 : max_advice_workers;
    }

    // Workers for all tasks of the gang, those that hold most members first; empty when the gang
    // does not fit.
    template <typename CapacityOf>
    [[nodiscard]] tasks_by_worker fit_gang(const waiting_step& step, bool with_valid_ticket,
                                           const std::string* rack, CapacityOf capacity_at) const {
        tasks_by_worker fitting;
        std::int64_t sum = 0;
        for (const auto& c : m_candidates) {
            if ((rack != nullptr && m_capacities[c.worker].worker->report.rack != *rack) ||
                (with_valid_ticket && !is_valid(c))) {
                continue;
            }
            const auto task_count = std::min(count_fitting_tasks(m_demand, capacity_at(c.worker)),
                                             remaining_tasks_on(step, c.worker));
            if (task_count > 0) {
                fitting.emplace_back(c.worker, task_count);
                sum += task_count;
            }
        }
        if (sum < static_cast<std::int64_t>(step.spec->count)) {
            return {};
        }
        return allocate_tasks(std::move(fitting), step.spec->count);
    }

    // Places the gang in one rack if it prefers that and one rack has enough free capacity,
    // otherwise anywhere.
    template <typename CapacityOf>
    [[nodiscard]] tasks_by_worker place_gang(const waiting_step& step, bool with_valid_ticket,
                                             CapacityOf capacity_at) const {
        if (step.spec->same_rack) {
            std::set<std::string> racks;
            for (const auto& c : m_candidates) {
                racks.insert(m_capacities[c.worker].worker->report.rack);
            }
            for (const auto& rack : racks) {
                auto found = fit_gang(step, with_valid_ticket, &rack, capacity_at);
                if (!found.empty()) {
                    return found;
                }
            }
        }
        return fit_gang(step, with_valid_ticket, nullptr, capacity_at);
    }

    void plan_gang(const waiting_step& step) {
        if (step.tasks.size() < step.spec->count) {
            return;
        }
        if (step.queue->needs_tickets && step.state->tickets.asked.empty()) {
            if (may_request_tickets(step)) {
                request_tickets_from_unasked(step, "first");
            }
            return;
        }
        const auto available_now = [&](worker_slot w) { return available_capacity(step, w); };
        const auto ready = place_gang(step, true, available_now);
        if (!ready.empty()) {
            if (may_start(step.spec->count)) {
                start_gang(step, ready);
            } else {
                reserve_now(ready);
            }
            return;
        }
        const auto fitting = place_gang(step, false, available_now);
        if (!fitting.empty()) {
            renew_for_gang(step, fitting);
            return;
        }
        const auto available_soon = [&](worker_slot w) {
            return available_capacity(step, w) + m_capacities[w].stopping;
        };
        auto soon = place_gang(step, false, available_soon);
        if (soon.empty() && m_limits.preemption && m_result.preemptions.empty() &&
            preempt_for_gang(step)) {
            soon = place_gang(step, false, available_soon);
        }
        if (!soon.empty()) {
            if (has_valid_tickets(step, soon, stop_time)) {
                reserve_now(soon);
            } else {
                renew_for_gang(step, soon);
            }
            return;
        }
        if (may_request_tickets(step)) {
            const auto before = m_result.ticket_requests.size();
            if (!has_sufficient_capacity(step)) {
                request_tickets_from_unasked(step, "more");
            }
            if (m_result.ticket_requests.size() == before && !renew_expiring_tickets(step)) {
                request_tickets_from_free(step);
            }
        }
        reserve_capacity_for_gang(step);
    }

    [[nodiscard]] bool has_valid_tickets(const waiting_step& step, const tasks_by_worker& workers,
                                         common::duration margin) const {
        return std::all_of(workers.begin(), workers.end(), [&](const auto& entry) {
            const auto* const ticket = step.state->tickets.find(entry.first);
            return !step.queue->needs_tickets ||
                   (ticket != nullptr && ticket->expires > m_now + margin);
        });
    }

    // Stops less urgent runs on the granted workers until the gang fits; false, without any effect,
    // when that is not possible.
    bool preempt_for_gang(const waiting_step& step) {
        std::int64_t missing = step.spec->count;
        std::vector<preemption_option> options;
        for (const auto& c : m_candidates) {
            const auto w = c.worker;
            const auto available = available_capacity(step, w) + m_capacities[w].stopping;
            const auto most = remaining_tasks_on(step, w);
            const auto fitting = std::min(count_fitting_tasks(m_demand, available), most);
            missing -= fitting;
            options.push_back(find_preemption(*m_capacities[w].worker, m_demand, available,
                                              most - fitting, step.queue->priority, m_now));
        }
        const auto chosen = choose_preemptions(std::move(options), missing);
        for (const auto& option : chosen) {
            for (const auto& run : option.runs) {
                m_capacities[option.worker].stopping +=
                    m_capacities[option.worker].worker->runs.at(run).demand;
                m_result.preemptions.push_back({option.worker, run});
            }
        }
        return !chosen.empty();
    }

    // A gang that needs most of its granted workers to be empty at the same time may never start.
    [[nodiscard]] bool has_sufficient_capacity(const waiting_step& step) const {
        return total_task_capacity(step) >=
               gang_capacity_factor * static_cast<std::int64_t>(step.spec->count);
    }

    // Number of gang members that fit on the granted workers when these are empty.
    [[nodiscard]] std::int64_t total_task_capacity(const waiting_step& step) const {
        std::int64_t tasks = 0;
        for (const auto& c : m_candidates) {
            tasks += std::min(
                count_fitting_tasks(m_demand, m_capacities[c.worker].worker->report.capacity),
                remaining_tasks_on(step, c.worker));
        }
        return tasks;
    }

    void start_gang(const waiting_step& step, const tasks_by_worker& workers) {
        const auto run = step.state->last_run() + 1;
        std::uint32_t index = 0;
        for (const auto& [w, task_count] : workers) {
            for (std::int64_t i = 0; i < task_count; ++i) {
                start(step, index++, w, run);
            }
        }
    }

    // Reserves free capacity for a gang that starts as soon as its tickets or the limit of pending
    // starts permit; returns the workers.
    std::vector<worker_slot> reserve_now(const tasks_by_worker& workers) {
        std::vector<worker_slot> named;
        for (const auto& [w, task_count] : workers) {
            m_reservations[w].push_back({m_demand * task_count, m_now});
            named.push_back(w);
        }
        return named;
    }

    // Reserves the free capacity while missing or expired tickets are requested.
    void renew_for_gang(const waiting_step& step, const tasks_by_worker& workers) {
        auto named = reserve_now(workers);
        if (!may_request_tickets(step)) {
            return;
        }
        const auto max_spare = std::max(min_spare_renewals, named.size() / spare_renewals_divisor);
        std::size_t spare = 0;
        for (const auto& c : m_candidates) {
            if (spare == max_spare) {
                break;
            }
            if (std::find(named.begin(), named.end(), c.worker) == named.end() &&
                m_demand.fits(available_capacity(step, c.worker))) {
                named.push_back(c.worker);
                ++spare;
            }
        }
        add_ticket_requests(step, std::move(named), "renew");
    }

    // Reserves capacity for a planned start at the earliest time at which the runs that are
    // expected to have ended leave enough of it.
    void reserve_capacity_for_gang(const waiting_step& step) {
        if (m_reserved_gangs >= max_reserved_gangs) {
            return;
        }
        struct release {
            common::time_point at;
            std::size_t candidate;
            resources amount;
        };
        std::vector<release> releases;
        std::vector<resources> available;
        std::vector<std::int64_t> fitting_tasks;
        std::int64_t sum = 0;
        for (std::size_t i = 0; i < m_candidates.size(); ++i) {
            const auto w = m_candidates[i].worker;
            available.push_back(available_capacity(step, w));
            fitting_tasks.push_back(
                std::min(count_fitting_tasks(m_demand, available[i]), remaining_tasks_on(step, w)));
            sum += fitting_tasks[i];
            for (const auto& [run, placed] : m_capacities[w].worker->runs) {
                releases.push_back(
                    {std::max(placed.expected_end, m_now + overrun_allowance), i, placed.demand});
            }
        }
        std::sort(releases.begin(), releases.end(),
                  [](const release& a, const release& b) { return a.at < b.at; });
        for (const auto& ended : releases) {
            const auto i = ended.candidate;
            available[i] += ended.amount;
            const auto after = std::min(count_fitting_tasks(m_demand, available[i]),
                                        remaining_tasks_on(step, m_candidates[i].worker));
            sum += after - fitting_tasks[i];
            fitting_tasks[i] = after;
            if (sum >= static_cast<std::int64_t>(step.spec->count)) {
                tasks_by_worker fitting;
                for (std::size_t j = 0; j < fitting_tasks.size(); ++j) {
                    if (fitting_tasks[j] > 0) {
                        fitting.emplace_back(m_candidates[j].worker, fitting_tasks[j]);
                    }
                }
                reserve_capacity(step, allocate_tasks(std::move(fitting), step.spec->count),
                                 ended.at);
                return;
            }
        }
    }

    void reserve_capacity(const waiting_step& step, const tasks_by_worker& workers,
                          common::time_point at) {
        ++m_reserved_gangs;
        std::vector<worker_slot> named;
        for (const auto& [w, task_count] : workers) {
            m_reservations[w].push_back({m_demand * task_count, at});
            named.push_back(w);
        }
        const bool valid = std::all_of(named.begin(), named.end(), [&](worker_slot w) {
            const auto* const ticket = step.state->tickets.find(w);
            return !step.queue->needs_tickets ||
                   (ticket != nullptr && ticket->expires > m_now + ticket_margin);
        });
        // Requests the tickets so that they arrive when the capacity becomes free.
        const auto call = call_time(step, named.size());
        if (!valid && may_request_tickets(step) && at < m_now + call + early_request_margin) {
            add_optional_requests(step, std::move(named), "ahead", 1);
        }
    }

    std::vector<worker_free_capacity> m_capacities;
    std::vector<std::vector<capacity_reservation>> m_reservations;
    std::vector<candidate> m_candidates;
    resources m_demand;
    std::map<std::pair<task_key, worker_slot>, std::int64_t> m_planned_tasks;
    /// Workers that receive a start of this plan.
    std::set<worker_slot> m_started;
    /// The step of the suspected task that was planned last.
    std::optional<task_key> m_probed_step;
    std::size_t m_reserved_gangs = 0;
    plan_limits m_limits;
    common::time_point m_now;
    plan_result m_result;
};

} // namespace

plan_result plan_steps(const std::vector<waiting_step>& steps,
                       std::vector<worker_free_capacity> free_capacities, const plan_limits& limits,
                       common::time_point now) {
    planner plan(std::move(free_capacities), limits, now);
    for (const auto& step : steps) {
        plan.plan(step);
    }
    return plan.take();
}

} // namespace buckthornspar::dispatch
