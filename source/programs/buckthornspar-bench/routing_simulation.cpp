#include "routing_simulation.h"

#include <string>
#include <utility>

namespace buckthornspar::bench {

namespace {

constexpr common::duration deadline = std::chrono::seconds(30);
constexpr common::duration drain_time = std::chrono::seconds(40);
constexpr std::size_t body_bytes = 2000;
constexpr unsigned status_ok = 200;
constexpr unsigned status_failed = 500;
constexpr common::duration fast_failure = std::chrono::milliseconds(1);

std::string region_name(std::size_t region) {
    return "region" + std::to_string(region);
}

membership::instance make_instance(const std::string& id, membership::instance_role role,
                                   std::size_t region) {
    membership::instance i;
    i.id = id;
    i.role = role;
    i.region = region_name(region);
    return i;
}

// Ids consist of one letter and a zero-based index.
std::size_t index_from_id(const std::string& id) {
    return std::stoul(id.substr(1));
}

} // namespace

routing_simulation::routing_simulation(const routing_cell& cell, const runner_faults& faults,
                                       const std::string& policy, std::uint64_t seed)
    : m_cell(cell), m_faults(faults) {
    membership::instance_snapshot list;
    for (std::size_t i = 0; i < cell.runners; ++i) {
        m_runners.emplace_back();
        m_runners.back().region = i % cell.regions;
        list.instances.push_back(make_instance(
            "r" + std::to_string(i), membership::instance_role::runner, i % cell.regions));
        list.instances.back().service = "planner";
        list.instances.back().slots = cell.slots;
        list.instances.back().address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)};
    }
    for (std::size_t i = 0; i < cell.entries; ++i) {
        const std::string id = "e" + std::to_string(i);
        list.instances.push_back(
            make_instance(id, membership::instance_role::entry, i % cell.regions));
        routing::engine_settings settings;
        settings.route.setup.entry_id = id;
        settings.route.setup.region = region_name(i % cell.regions);
        settings.route.policy = policy;
        settings.route.crossing_time = cell.inter_region_delay;
        settings.max_per_caller = SIZE_MAX;
        m_entries.push_back(std::make_unique<entry_node>());
        m_entries.back()->region = i % cell.regions;
        m_entries.back()->engine = std::make_unique<routing::request_engine>(
            settings, m_entries.back()->metrics, seed + i);
    }
    for (std::size_t i = 0; i < cell.entries; ++i) {
        m_entries[i]->engine->on_instances(list, m_now);
    }
}

void routing_simulation::schedule(common::time_point at, std::function<void()> run) {
    m_events.push({at, m_next_event++, std::move(run)});
}

common::duration routing_simulation::one_way_delay(std::size_t a, std::size_t b) const {
    return a == b ? m_cell.intra_region_delay : m_cell.inter_region_delay;
}

simulation_result routing_simulation::run(const std::vector<arrival>& arrivals) {
    m_arrivals = &arrivals;
    m_started.assign(arrivals.size(), common::time_point{});
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        after_engine_event(i);
    }
    const auto body = std::make_shared<const std::string>(body_bytes, 'x');
    const auto end = common::time_point{} + m_cell.length + drain_time;
    if (m_faults.outage.runners > 0) {
        schedule(m_faults.outage.from, [this] { kill_runners(); });
        schedule(m_now, [this] { count_retries(); });
    }
    std::size_t next = 0;
    while (true) {
        const bool arrives =
            next < arrivals.size() && (m_events.empty() || arrivals[next].at <= m_events.top().at);
        if (arrives) {
            m_now = arrivals[next].at;
            routing::request r;
            ++statistics_at(m_now).submitted;
            r.key = next + 1;
            r.id = std::to_string(next);
            r.service = "planner";
            r.deadline = m_now + deadline;
            r.idempotent = true;
            r.body = body;
            const std::size_t entry = arrivals[next].entry;
            m_entries[entry]->engine->submit(std::move(r), m_now);
            after_engine_event(entry);
            ++next;
            continue;
        }
        if (m_events.empty() || m_events.top().at > end) {
            break;
        }
        m_now = m_events.top().at;
        const auto run_event = m_events.top().run;
        m_events.pop();
        run_event();
    }
    for (const auto& e : m_entries) {
        m_result.full_refusals += static_cast<std::size_t>(
            e->metrics.get("runner_refusals_total", "reason", "full").value());
        m_result.crossings += static_cast<std::size_t>(e->metrics.get("crossings_total").value());
        m_result.crossings_refused +=
            static_cast<std::size_t>(e->metrics.get("crossings_refused_total").value());
        m_result.crossing_bytes += e->engine->find_route("planner")->crossing_bytes();
    }
    return std::move(m_result);
}

void routing_simulation::after_engine_event(std::size_t entry) {
    entry_node& e = *m_entries[entry];
    for (const auto& a : e.engine->take_actions()) {
        perform(entry, a);
    }
    const auto next = std::max(e.engine->next_wakeup(), m_now);
    if (next >= e.wake_at) {
        return;
    }
    e.wake_at = next;
    schedule(next, [this, entry, next] {
        entry_node& woken = *m_entries[entry];
        if (woken.wake_at == next) {
            woken.wake_at = common::time_point::max();
            woken.engine->tick(m_now);
            after_engine_event(entry);
        }
    });
}

void routing_simulation::perform(std::size_t entry, const routing::action& a) {
    const std::size_t region = m_entries[entry]->region;
    if (const auto* run = std::get_if<routing::run_call>(&a)) {
        count_attempt(*run);
        const std::size_t runner = index_from_id(run->runner);
        schedule(m_now + one_way_delay(region, m_runners[runner].region),
                 [this, entry, runner, call = *run] { deliver_to_runner(entry, runner, call); });
    } else if (const auto* query = std::get_if<routing::query_call>(&a)) {
        answer_query(entry, *query);
    } else if (const auto* ping = std::get_if<routing::ping_call>(&a)) {
        answer_ping(entry, *ping);
    } else if (const auto* done = std::get_if<routing::caller_answer>(&a)) {
        record_answer(*done);
    } else if (const auto* message = std::get_if<routing::peer_message>(&a)) {
        send_peer(entry, *message);
    }
}

void routing_simulation::deliver_to_runner(std::size_t entry, std::size_t runner,
                                           const routing::run_call& call) {
    runner_node& r = m_runners[runner];
    if (m_faults.outage.is_down(runner, m_now)) {
        refuse_connection(entry, runner, call);
        return;
    }
    routing::run_result result;
    result.token = call.token;
    result.request_id = call.request_id;
    if (r.running >= m_cell.slots) {
        result.kind = routing::run_result_kind::refused;
        send_result(entry, runner, std::move(result));
        return;
    }
    ++r.running;
    result.kind = routing::run_result_kind::answered;
    const std::size_t number = std::stoul(call.request_id);
    m_started[number] = m_now;
    const bool first = runner == 0;
    const bool fails = first && m_faults.fails_fast;
    result.status = fails ? status_failed : status_ok;
    const double factor = first ? m_faults.slow_factor : 1;
    const auto service = static_cast<double>((*m_arrivals)[number].service_time.count());
    const auto busy =
        fails ? fast_failure : common::duration(static_cast<std::int64_t>(service * factor));
    const std::uint64_t run_number = m_next_run++;
    r.runs.insert(run_number);
    m_active_runs.emplace(run_number, active_run{entry, runner, number, call.token});
    schedule(m_now + busy, [this, run_number, result] { finish_run(run_number, result); });
}

void routing_simulation::finish_run(std::uint64_t run, routing::run_result result) {
    const auto position = m_active_runs.find(run);
    if (position == m_active_runs.end()) {
        return;
    }
    const active_run ended = position->second;
    m_active_runs.erase(position);
    m_runners[ended.runner].runs.erase(run);
    --m_runners[ended.runner].running;
    result.body = std::string(body_bytes, 'y');
    send_result(ended.entry, ended.runner, std::move(result));
}

void routing_simulation::send_result(std::size_t entry, std::size_t runner,
                                     routing::run_result result) {
    result.report = report_of(runner);
    schedule(m_now + one_way_delay(m_entries[entry]->region, m_runners[runner].region),
             [this, entry, result = std::move(result)] {
                 m_entries[entry]->engine->on_run_result(result, m_now);
                 after_engine_event(entry);
             });
}

void routing_simulation::record_answer(const routing::caller_answer& a) {
    const std::size_t number = a.key - 1;
    const arrival& submitted = (*m_arrivals)[number];
    second_statistics& second = statistics_at(submitted.at);
    second.not_run += a.outcome == routing::run_outcome::not_run ? 1 : 0;
    second.unknown += a.outcome == routing::run_outcome::unknown ? 1 : 0;
    if (submitted.at < common::time_point{} + m_cell.warm_up) {
        return;
    }
    if (a.outcome != routing::run_outcome::ran) {
        ++m_result.refused;
        return;
    }
    ++m_result.answered;
    if (a.status != status_ok) {
        ++m_result.failed;
        return;
    }
    const std::chrono::duration<double> wait = m_started[number] - submitted.at;
    const double relative = wait / std::chrono::duration<double>(m_cell.service_time);
    ++second.waits;
    second.wait_sum += relative;
    m_result.waits.push_back(relative);
    waits_of_group(submitted.entry).push_back(relative);
}

second_statistics& routing_simulation::statistics_at(common::time_point at) {
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count());
    if (m_result.seconds.size() <= second) {
        m_result.seconds.resize(second + 1);
    }
    return m_result.seconds[second];
}

std::vector<double>& routing_simulation::waits_of_group(std::size_t entry) {
    if (entry == 0) {
        return m_result.waits_first_entry;
    }
    const bool same_region = m_entries[entry]->region == m_entries[0]->region;
    return same_region ? m_result.waits_same_region : m_result.waits_other_regions;
}

} // namespace buckthornspar::bench
