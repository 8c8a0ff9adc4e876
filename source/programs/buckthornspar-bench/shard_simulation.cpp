#include "shard_simulation.h"

#include "cell_simulation.h"
#include "core/common/overloaded.h"
#include "processor_time.h"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace buckthornspar::bench {

using namespace scheduling;

namespace {

// Same values as in the decision thread of the scheduler.
constexpr common::duration max_wait = std::chrono::milliseconds(100);
constexpr common::duration min_wait = std::chrono::microseconds(200);
constexpr common::duration view_period = std::chrono::milliseconds(20);

constexpr common::duration submit_timeout = std::chrono::minutes(10);
constexpr std::uint64_t first_incarnation = 1;

std::size_t bytes_in_use() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

shard_engine_settings engine_settings(const shard_simulation_settings& settings,
                                      const std::string& self) {
    shard_engine_settings result;
    result.shard = "shard";
    result.self = self;
    result.fleet.shard = result.shard;
    result.fleet.self = self;
    result.log.log.prefix = "shard";
    result.log.log.writer = self;
    result.log.log.seed = settings.seed;
    result.log.flush_interval = settings.flush_interval;
    result.placement.seed = settings.seed;
    return result;
}

} // namespace

shard_usage shard_usage::operator-(const shard_usage& before) const {
    return {processor_us - before.processor_us,
            passes - before.passes,
            store_calls - before.store_calls,
            adopt_calls - before.adopt_calls,
            sync_calls - before.sync_calls,
            events_calls - before.events_calls,
            starts - before.starts};
}

shard_simulation::shard_simulation(shard_simulation_settings settings)
    : m_settings(settings), m_random(settings.seed) {
    for (const auto& info : make_workers(settings.workers, settings.worker_capacity, "w")) {
        membership::instance listing;
        listing.id = info.id;
        listing.region = info.region;
        listing.place = info.place;
        listing.rack = info.rack;
        m_workers[info.id].listing = std::move(listing);
    }
}

void shard_simulation::start_scheduler(const std::string& id) {
    ++m_generation;
    m_inbox.clear();
    m_counters = std::make_unique<common::counters>();
    m_engine = std::make_unique<shard_engine>(engine_settings(m_settings, id), *m_counters);
    std::vector<membership::instance> listed;
    for (const auto& [name, worker] : m_workers) {
        listed.push_back(worker.listing);
    }
    m_inbox.emplace_back(
        [this, listed = std::move(listed)](shard_engine& e) { e.on_worker_list(m_now, listed); });
    m_wake_at = m_now;
}

void shard_simulation::receive_owner_heartbeat(const std::string& owner, std::uint64_t epoch) {
    m_inbox.emplace_back(
        [this, owner, epoch](shard_engine& e) { e.on_owner_heartbeat(m_now, owner, epoch); });
}

std::size_t shard_simulation::stop_scheduler() {
    ++m_generation;
    m_inbox.clear();
    for (auto& [name, worker] : m_workers) {
        worker.poll.reset();
    }
    const std::size_t before = bytes_in_use();
    m_engine.reset();
    return before - bytes_in_use();
}

void shard_simulation::submit(const job_spec& job) {
    m_inbox.emplace_back(
        [this, job](shard_engine& e) { e.on_submit(m_now, 1, job, m_now + submit_timeout); });
    m_wake_at = m_now;
}

// Virtual time.

void shard_simulation::run_for(common::duration time) {
    (void)run_until([] { return false; }, time);
}

bool shard_simulation::run_until(const std::function<bool()>& done, common::duration limit) {
    const auto end = m_now + limit;
    while (next_event() <= end) {
        run_events_at(next_event());
        if (!m_inbox.empty() || m_wake_at <= m_now) {
            run_pass();
        }
        if (done()) {
            return true;
        }
    }
    m_now = end;
    return false;
}

common::time_point shard_simulation::next_event() const {
    return m_events.empty() ? m_wake_at : std::min(m_wake_at, m_events.begin()->first);
}

void shard_simulation::run_events_at(common::time_point now) {
    m_now = std::max(m_now, now);
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto node = m_events.extract(m_events.begin());
        node.mapped()();
    }
}

/// One iteration of the decision thread's loop.
void shard_simulation::run_pass() {
    const auto inbox = std::exchange(m_inbox, {});
    const double before = processor_time_us();
    for (const auto& item : inbox) {
        item(*m_engine);
    }
    m_engine->on_time(m_now);
    const auto actions = m_engine->take_actions();
    if (m_now >= m_next_view && m_engine->owns()) {
        (void)m_engine->free_resources();
        m_next_view = m_now + view_period;
    }
    const auto next = m_engine->next_wakeup(m_now);
    m_usage.processor_us += processor_time_us() - before;
    ++m_usage.passes;
    m_wake_at = std::clamp(next.value_or(m_now + max_wait), m_now + min_wait, m_now + max_wait);
    for (const auto& action : actions) {
        perform(action);
    }
}

void shard_simulation::schedule_after(common::duration delay, event action) {
    m_events.emplace(m_now + delay, std::move(action));
}

void shard_simulation::deliver(common::duration delay, engine_event result) {
    schedule_after(delay, [this, generation = m_generation, result = std::move(result)] {
        if (generation == m_generation) {
            m_inbox.push_back(result);
        }
    });
}

common::duration shard_simulation::worker_delay() {
    const auto spread = static_cast<std::uint64_t>(m_settings.answer_spread.count());
    return m_settings.answer_latency +
           common::duration(static_cast<std::int64_t>(m_random.below(spread + 1)));
}

// Calls of the engine.

void shard_simulation::perform(const shard_action& action) {
    std::visit(common::overloaded{
                   [&](const store::store_call& c) { call(c); },
                   [&](const adopt_call& c) { call(c); },
                   [&](const sync_call& c) { call(c); },
                   [&](const events_call& c) { call(c); },
                   [](const reply_action&) {},
                   [](const ownership_changed&) {},
               },
               action);
}

void shard_simulation::call(const store::store_call& call) {
    ++m_usage.store_calls;
    deliver(m_settings.store_latency,
            [this, id = call.id, response = execute(call.request)](shard_engine& e) {
                e.on_store_response(m_now, id, response);
            });
}

void shard_simulation::call(const adopt_call& call) {
    ++m_usage.adopt_calls;
    simulated_worker& worker = m_workers.at(call.worker);
    worker.accepted_epoch = call.request.epoch;
    worker_inventory inventory;
    inventory.worker = call.worker;
    inventory.incarnation = first_incarnation;
    inventory.stamp_ms = stamp();
    inventory.accepted_epoch = worker.accepted_epoch;
    inventory.capacity = m_settings.worker_capacity;
    for (const auto& [attempt, task] : worker.held) {
        inventory.tasks.push_back(task);
    }
    inventory.ended = ended_after(worker, 0);
    deliver(worker_delay(), [this, call, inventory = std::move(inventory)](shard_engine& e) {
        e.on_adopt(m_now, call.worker, call.call, inventory);
    });
}

void shard_simulation::call(const sync_call& call) {
    ++m_usage.sync_calls;
    simulated_worker& worker = m_workers.at(call.worker);
    for (const auto& attempt : call.request.acknowledge) {
        std::erase_if(worker.ended,
                      [&](const auto& item) { return item.second.attempt == attempt; });
    }
    sync_response result;
    result.stamp_ms = stamp();
    result.incarnation = first_incarnation;
    for (const auto& operation : call.request.operations) {
        execute(worker, operation);
        result.results.push_back(
            {operation.attempt, operation_status::accepted, operation_reason::none});
    }
    deliver(worker_delay(), [this, call, result = std::move(result)](shard_engine& e) {
        e.on_sync(m_now, call.worker, call.call, result);
    });
}

void shard_simulation::call(const events_call& call) {
    ++m_usage.events_calls;
    simulated_worker& worker = m_workers.at(call.worker);
    worker.poll = pending_poll{call.call, call.after};
    if (worker.last_event > call.after) {
        answer_poll(worker);
        return;
    }
    schedule_after(call.max_wait, [this, &worker, id = call.call, generation = m_generation] {
        if (generation == m_generation && worker.poll && worker.poll->call == id) {
            answer_poll(worker);
        }
    });
}

// The workers and the store.

void shard_simulation::execute(simulated_worker& worker, const worker_operation& operation) {
    if (operation.op == worker_op::cancel || operation.op == worker_op::stop) {
        end_task(worker, operation.attempt);
        return;
    }
    if (operation.op != worker_op::start) {
        return;
    }
    ++m_usage.starts;
    ++m_running_tasks;
    worker.held[operation.attempt] = {operation.task, operation.attempt,
                                      inventory_task_state::running, operation.demand, 0};
    if (operation.payload.run_ms > 0) {
        schedule_after(std::chrono::milliseconds(operation.payload.run_ms),
                       [this, &worker, attempt = operation.attempt] { end_task(worker, attempt); });
    }
}

void shard_simulation::end_task(simulated_worker& worker, const std::string& attempt) {
    const auto node = worker.held.extract(attempt);
    if (node.empty()) {
        return;
    }
    --m_running_tasks;
    worker.ended[++worker.last_event] = {node.mapped().task, attempt, attempt_outcome::succeeded,
                                         true, 0};
    if (worker.poll) {
        answer_poll(worker);
    }
}

void shard_simulation::answer_poll(simulated_worker& worker) {
    const pending_poll poll = *std::exchange(worker.poll, std::nullopt);
    events_response result;
    result.stamp_ms = stamp();
    result.incarnation = first_incarnation;
    result.next = worker.last_event;
    result.ended = ended_after(worker, poll.after);
    deliver(worker_delay(), [this, id = worker.listing.id, poll, result = std::move(result)](
                                shard_engine& e) { e.on_events(m_now, id, poll.call, result); });
}

std::vector<ended_attempt> shard_simulation::ended_after(const simulated_worker& worker,
                                                         std::uint64_t event_number) const {
    std::vector<ended_attempt> result;
    for (auto at = worker.ended.upper_bound(event_number); at != worker.ended.end(); ++at) {
        result.push_back(at->second);
    }
    return result;
}

bool shard_simulation::all_adopted() const {
    return m_engine->owns() &&
           std::all_of(m_workers.begin(), m_workers.end(), [&](const auto& item) {
               return item.second.accepted_epoch == m_engine->epoch();
           });
}

store::kv_response shard_simulation::execute(const store::kv_request& request) {
    const auto position = m_store.find(request.key);
    if (request.operation == store::kv_operation::list) {
        store::kv_response response{store::kv_status::ok, {}, m_store_index};
        for (auto at = m_store.lower_bound(request.key);
             at != m_store.end() && at->first.starts_with(request.key); ++at) {
            response.entries.push_back(at->second);
        }
        return response;
    }
    const std::uint64_t index = position == m_store.end() ? 0 : position->second.modify_index;
    if (request.operation == store::kv_operation::get ||
        request.operation == store::kv_operation::watch) {
        return index == 0 ? store::kv_response{store::kv_status::not_found, {}, m_store_index}
                          : store::kv_response{store::kv_status::ok, {position->second}, index};
    }
    if (index != request.expected_index) {
        return {store::kv_status::conflict, {}, m_store_index};
    }
    if (request.operation == store::kv_operation::delete_if) {
        m_store.erase(request.key);
    } else {
        m_store[request.key] = {request.key, request.value, m_store_index + 1};
    }
    ++m_store_index;
    // Like the production store, a write does not return the new index.
    return {store::kv_status::ok, {}, 0};
}

} // namespace buckthornspar::bench
