#include "soak/leased_worker.h"

#include "soak/advice_service.h"
#include "soak/job_clients.h"
#include "soak/link_board.h"
#include "soak/platform_store.h"
#include "wire_json.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace buckthornspar::soak {

namespace json = boost::json;
using platform::integer_of;
using platform::text_of;

namespace {

constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::int64_t entry_lifetime_ms = 3 * heartbeat_ms;
/// Longer than drain_bound_ms of the nodes' settings, so that starts ordered before the report was
/// seen are still accepted.
constexpr std::int64_t drain_ms = 3000;
constexpr std::int64_t max_lease_ms = 6000;
constexpr std::int64_t max_wait_ms = 2000;
constexpr std::int64_t gang_ms = 3000;
constexpr std::int64_t never_ms = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_listed_ends = 500;
constexpr std::int64_t first_clock_ms = 1000;

std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string step_of(const std::string& task) {
    return task.substr(0, task.rfind('.'));
}

std::int64_t number_in(const std::string& payload, const std::string& name, std::int64_t fallback) {
    const auto position = payload.find(name + "=");
    return position == std::string::npos ? fallback
                                         : std::stoll(payload.substr(position + name.size() + 1));
}

} // namespace

leased_worker::leased_worker(worker_environment environment, worker_settings settings)
    : m_env(std::move(environment)), m_settings(std::move(settings)) {
    restart();
}

void leased_worker::handle(const std::string& node, const net::http_request& request,
                           const net::http_reply& reply) {
    if (m_env.links.is_cut(node, id())) {
        m_env.links.hold(node, id(), reply);
        return;
    }
    const auto born = m_born_ms;
    m_env.calls.execute(m_env.links.guard(node, id(), reply),
                        [this, born, request](const net::http_reply& answer) {
                            // A late order does not reach the worker's next life. The system
                            // does not hold TWICE then (review case 1 in KNOWN-RED.txt).
                            if (m_up && m_born_ms == born) {
                                serve(request, answer);
                            }
                        });
}

void leased_worker::serve(const net::http_request& request, const net::http_reply& reply) {
    const auto path = request.path();
    if (path == "/healthz") {
        reply(net::json_response(200, "{}"));
        return;
    }
    if (request.fields.get("Buckthornspar-Expect-Instance", id()) != id()) {
        reply(net::json_response(421, "{}"));
        return;
    }
    advance();
    const auto body = platform::parse_body(request.body);
    if (path == "/v1/run-start") {
        reply(start(body));
    } else if (path == "/v1/run-stop") {
        reply(stop(body));
    } else if (path == "/v1/hold") {
        poll(body, reply);
    } else {
        reply(net::json_response(404, "{}"));
    }
}

net::http_response leased_worker::start(const json::object& body) {
    if (!accept_fence(body)) {
        return refused("fence");
    }
    const auto task = text_of(body, "task");
    const auto run = static_cast<std::uint32_t>(integer_of(body, "run"));
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.event.run == run) {
        return accepted();
    }
    const auto until = integer_of(body, "until_ms");
    if (until <= clock_ms()) {
        return refused("late");
    }
    if (number_in(text_of(body, "spec"), "gang", 0) > 0 &&
        !is_valid_ticket(text_of(body, "ticket"), step_of(task), id(), m_born_ms)) {
        m_env.log.write("start of " + task + " without a valid ticket on " + id());
        return refused("ticket");
    }
    extend_lease(until);
    if (present != m_running.end() || run <= m_highest_ended[task]) {
        return refused("old");
    }
    add_run(body, task, run);
    return accepted();
}

void leased_worker::add_run(const json::object& body, const std::string& task, std::uint32_t run) {
    const auto payload = text_of(body, "spec");
    active_run added;
    added.event = {id(), task, run, static_cast<std::uint64_t>(integer_of(body, "fence")),
                   now_ms()};
    added.work_ms = number_in(payload, "work_ms", 1000);
    added.done_at_ms = added.event.at_ms + added.work_ms;
    added.fails = run <= number_in(payload, "fails", 0);
    added.gang = static_cast<std::size_t>(number_in(payload, "gang", 0));
    m_env.advance_all();
    m_env.log.write("start " + task + " run " + std::to_string(run) + " on " + id() + " fence " +
                    std::to_string(added.event.fence));
    m_env.check.begin(added.event);
    m_env.lost.begin(added.event);
    m_env.customers.begin(added.event);
    if (added.gang > 0) {
        join_gang(added);
    }
    m_running[task] = added;
}

gang_state& leased_worker::gang_of(const run_event& run) {
    return m_env.gangs[{step_of(run.task), run.run}];
}

// Of a gang whose run fails, one member fails, another one in each run; the others end with it.
void leased_worker::join_gang(active_run& run) {
    auto& gang = gang_of(run.event);
    gang.members.insert(run.event.task);
    if (gang.members.size() == run.gang && !gang.ended_ms) {
        gang.begun_ms = run.event.at_ms;
    }
    const auto index = std::stoull(run.event.task.substr(run.event.task.rfind('.') + 1));
    const bool is_chosen = index == run.event.run % run.gang;
    run.works_to_end = is_chosen || !run.fails;
    run.fails = run.fails && is_chosen;
}

// Sets the end of the run by what the other members do, and returns how it ends.
const char* leased_worker::update_gang_run(active_run& run) {
    const auto& gang = gang_of(run.event);
    run.done_at_ms = gang.begun_ms && run.works_to_end ? *gang.begun_ms + run.work_ms : never_ms;
    const char* how = run.fails ? "failed" : "done";
    if (!gang.begun_ms) {
        run.done_at_ms = run.event.at_ms + gang_ms;
        how = "alone";
    }
    if (gang.ended_ms && *gang.ended_ms < run.done_at_ms) {
        run.done_at_ms = *gang.ended_ms;
        how = "broken";
    }
    return how;
}

net::http_response leased_worker::stop(const json::object& body) {
    if (!accept_fence(body)) {
        return refused("fence");
    }
    const auto task = text_of(body, "task");
    const auto run = static_cast<std::uint32_t>(integer_of(body, "run"));
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.event.run == run) {
        end_run(task, "stopped", now_ms());
        answer_polls();
    }
    auto& highest = m_highest_ended[task];
    highest = std::max(highest, run);
    return accepted();
}

void leased_worker::poll(const json::object& body, const net::http_reply& reply) {
    if (!accept_fence(body)) {
        reply(refused("fence"));
        return;
    }
    acknowledge(static_cast<std::uint64_t>(integer_of(body, "last_seen")));
    if (const auto until = integer_of(body, "until_ms"); until > 0) {
        extend_lease(until);
    }
    const auto wait = std::min(integer_of(body, "wait_ms"), max_wait_ms);
    m_polls.push_back({now_ms() + wait, reply});
    answer_polls();
}

void leased_worker::acknowledge(std::uint64_t last_seen) {
    while (!m_ends.empty() && m_ends.front().number <= last_seen) {
        m_env.check.acknowledge(m_ends.front().event);
        m_env.lost.acknowledge(m_ends.front().event);
        m_ends.pop_front();
    }
}

bool leased_worker::accept_fence(const json::object& body) {
    const auto fence = static_cast<std::uint64_t>(integer_of(body, "fence"));
    if (fence < m_fence) {
        return false;
    }
    m_fence = fence;
    return true;
}

void leased_worker::extend_lease(std::int64_t until_clock_ms) {
    const auto left = std::min(until_clock_ms - clock_ms(), max_lease_ms);
    if (left <= 0) {
        return;
    }
    const auto left_ms =
        static_cast<std::int64_t>(static_cast<double>(left) / m_settings.clock_rate);
    m_lease_ends_at_ms = std::max(m_lease_ends_at_ms, now_ms() + left_ms);
    m_lapsed = false;
}

void leased_worker::tick() {
    advance();
    answer_polls();
    if (m_up && now_ms() >= m_next_entry_ms) {
        m_next_entry_ms = now_ms() + heartbeat_ms;
        write_entry();
    }
    expire_entry();
}

// Runs that are done before the end of the lease end as done even when the loop is late.
void leased_worker::advance() {
    if (!m_up) {
        return;
    }
    end_due_runs(std::min(now_ms(), m_lease_ends_at_ms));
    if (m_lapsed || now_ms() <= m_lease_ends_at_ms) {
        return;
    }
    m_lapsed = true;
    m_env.check.lapse(id());
    m_env.lost.lapse(id());
    while (!m_running.empty()) {
        end_run(m_running.begin()->first, "lapsed", m_lease_ends_at_ms);
    }
}

void leased_worker::end_due_runs(std::int64_t until_ms) {
    std::map<std::string, const char*> due;
    for (auto& [task, run] : m_running) {
        const auto* const how = run.gang > 0 ? update_gang_run(run) : run.fails ? "failed" : "done";
        if (run.done_at_ms <= until_ms) {
            due[task] = how;
        }
    }
    for (const auto& [task, how] : due) {
        end_run(task, how, m_running.at(task).done_at_ms);
    }
}

void leased_worker::end_run(const std::string& task, const std::string& how, std::int64_t at_ms) {
    // The name may be that of the entry, which is removed here.
    const auto entry = m_running.extract(task);
    auto event = entry.mapped().event;
    event.at_ms = at_ms;
    m_ends.push_back({++m_last_end, event, how});
    auto& highest = m_highest_ended[event.task];
    highest = std::max(highest, event.run);
    m_env.log.write("end " + event.task + " run " + std::to_string(event.run) + " on " + id() +
                    " " + how + " at " + std::to_string(at_ms) + " ms");
    m_env.check.end(event, how == "done");
    m_env.lost.end(event, how);
    m_env.customers.end(event);
    if (entry.mapped().gang > 0) {
        break_gang(event);
    }
}

void leased_worker::break_gang(const run_event& run) {
    auto& gang = gang_of(run);
    gang.ended_ms = std::min(gang.ended_ms.value_or(never_ms), run.at_ms);
}

void leased_worker::answer_polls() {
    for (auto position = m_polls.begin(); position != m_polls.end();) {
        const auto current = position++;
        if (!m_ends.empty() || now_ms() >= current->until_ms) {
            const auto reply = std::move(current->reply);
            m_polls.erase(current);
            reply(lists());
        }
    }
}

void leased_worker::crash() {
    if (!m_up) {
        return;
    }
    m_env.advance_all();
    m_up = false;
    for (auto& [task, run] : m_running) {
        run.event.at_ms = now_ms();
        if (run.gang > 0) {
            break_gang(run.event);
        }
    }
    m_running.clear();
    m_ends.clear();
    m_polls.clear();
    m_highest_ended.clear();
    m_env.check.crash(id());
    m_env.lost.crash(id());
    m_env.customers.crash(id());
    m_env.log.write("crash of " + id());
}

void leased_worker::restart() {
    m_up = true;
    m_born_ms = unix_ms();
    m_started_at_ms = now_ms();
    m_sequence = 0;
    m_fence = 0;
    m_lease_ends_at_ms = 0;
    m_lapsed = true;
    m_last_end = 0;
    m_next_entry_ms = 0;
    m_env.log.write("worker " + id() + " is up, born " + std::to_string(m_born_ms));
}

void leased_worker::drain() {
    m_draining = true;
    m_next_entry_ms = 0;
    m_env.log.write("worker " + id() + " drains");
}

void leased_worker::leave(bool planned) {
    crash();
    m_left = true;
    if (planned && m_listed && m_env.store.is_up() && !m_env.links.is_cut(id(), "store")) {
        m_listed = false;
        m_env.store.remove(key());
    }
    m_env.log.write("worker " + id() + " has left");
}

bool leased_worker::has_drained() const {
    return m_draining &&
           (!m_up || (m_drain_accepted_ms && now_ms() >= *m_drain_accepted_ms + drain_ms));
}

void leased_worker::write_entry() {
    if (!m_env.store.is_up() || m_env.links.is_cut(id(), "store")) {
        return;
    }
    json::object entry{
        {"service", m_settings.service},
        // The view of each node replaces the address by the one of its own link.
        {"address", ""},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 8},
        {"state", m_draining ? "draining" : "ready"},
        {"cold_remaining_ms", 0},
        {"capacity",
         json::object{{"cpu", m_settings.cpu}, {"mem_mb", m_settings.memory_mb}, {"gpu", 0}}},
        {"labels", json::array{"a", m_settings.rack}},
        {"clock_ms", clock_ms()},
        {"born", m_born_ms},
        {"seq", ++m_sequence}};
    if (m_draining) {
        m_drain_accepted_ms = m_drain_accepted_ms.value_or(now_ms());
        entry["drain_remaining_ms"] =
            std::max<std::int64_t>(0, *m_drain_accepted_ms + drain_ms - now_ms());
    }
    m_env.store.put(key(), json::serialize(entry));
    m_entry_written_ms = now_ms();
    m_listed = true;
}

void leased_worker::expire_entry() {
    const bool due = m_listed && now_ms() > m_entry_written_ms + entry_lifetime_ms;
    if (due && m_env.store.expires()) {
        m_listed = false;
        m_env.store.remove(key());
        m_env.log.write("the entry of " + id() + " has ended");
    }
}

std::size_t leased_worker::free_places() const {
    if (m_draining) {
        return 0;
    }
    const auto places = static_cast<std::size_t>(
        std::min(m_settings.cpu / task_cpu, m_settings.memory_mb / task_memory_mb));
    return places - std::min(places, m_running.size());
}

std::int64_t leased_worker::clock_ms() const {
    const auto elapsed = static_cast<double>(now_ms() - m_started_at_ms);
    return first_clock_ms + static_cast<std::int64_t>(elapsed * m_settings.clock_rate);
}

net::http_response leased_worker::accepted() const {
    return net::json_response(200, json::serialize(json::object{{"clock_ms", clock_ms()}}));
}

net::http_response leased_worker::refused(const char* reason) const {
    return net::json_response(
        409, json::serialize(json::object{{"clock_ms", clock_ms()}, {"reason", reason}}));
}

net::http_response leased_worker::lists() const {
    json::array running;
    for (const auto& [task, run] : m_running) {
        const auto work = std::max<std::int64_t>(1, run.work_ms);
        const auto left = std::clamp<std::int64_t>(run.done_at_ms - now_ms(), 0, work);
        const auto percent = 100 - left * 100 / work;
        running.push_back(json::array{task, run.event.run, "", percent, 0});
    }
    json::array ended;
    for (const auto& end : m_ends) {
        if (ended.size() == max_listed_ends) {
            break;
        }
        ended.push_back(json::array{end.number, end.event.task, end.event.run, end.how, ""});
    }
    return net::json_response(200, json::serialize(json::object{{"clock_ms", clock_ms()},
                                                                {"born", m_born_ms},
                                                                {"running", std::move(running)},
                                                                {"ended", std::move(ended)}}));
}

} // namespace buckthornspar::soak
