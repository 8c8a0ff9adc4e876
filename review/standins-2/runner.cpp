#include "runner.h"

#include <algorithm>
#include <utility>

namespace review {

namespace {

constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::int64_t entry_lifetime_ms = 3 * heartbeat_ms;
constexpr std::int64_t max_lease_ms = 6000;
constexpr std::int64_t max_wait_ms = 2000;
constexpr std::int64_t gang_ms = 3000;
constexpr std::size_t max_listed_ends = 500;
constexpr std::int64_t first_clock_ms = 1000;
constexpr std::int64_t step_ms = 5;
/// Connections of a runner that is cut off stay open and silent for this time.
constexpr std::int64_t silence_ms = 10'000;

std::int64_t number_in(const std::string& spec, const std::string& name) {
    const auto position = spec.find(name);
    return position == std::string::npos ? 0 : std::stoll(spec.substr(position + name.size()));
}

std::string new_id() {
    static unsigned last = 0;
    return "i-" + std::to_string(7000 + ++last);
}

} // namespace

void record::write(const std::string& line) {
    m_file << now_ms() << " " << line << std::endl;
}

runner::runner(asio::io_context& context, store& platform, record& log, gang_board& gangs,
               runner_settings settings)
    : m_store(platform),
      m_record(log),
      m_gangs(gangs),
      m_settings(std::move(settings)),
      m_server(context, [this](const request& message) { return handle(message); }) {
    restart();
}

void runner::crash() {
    m_server.close();
    m_up = false;
    m_record.write("runner " + m_id + " crashes with " + std::to_string(m_running.size()) +
                   " tasks at work");
    for (const auto& [task, run] : m_running) {
        gang_of(task, run).ended = true;
        m_record.write("lost " + task + " run " + std::to_string(run.number) + " on " + m_id);
    }
    m_old_entries[m_id] = m_next_report_ms - heartbeat_ms + entry_lifetime_ms;
    m_running.clear();
    m_ended.clear();
}

void runner::restart() {
    ++m_life;
    m_id = new_id();
    m_born_ms = unix_ms();
    m_clock_start_ms = now_ms() - first_clock_ms;
    m_fence = 0;
    m_lease_until_ms = 0;
    m_last_end = 0;
    m_sequence = 0;
    m_next_report_ms = 0;
    m_highest_ended.clear();
    m_up = true;
    m_server.open();
    m_record.write("runner " + m_id + " is up");
}

std::int64_t runner::free_cpu(std::int64_t cpu_of_task) const {
    return m_up ? m_settings.cpu - static_cast<std::int64_t>(m_running.size()) * cpu_of_task : 0;
}

awaitable<void> runner::work() {
    while (true) {
        if (m_up) {
            end_due_runs();
            report();
        }
        std::erase_if(m_old_entries, [this](const auto& entry) {
            if (now_ms() < entry.second) {
                return false;
            }
            m_store.remove("servers/" + entry.first);
            return true;
        });
        co_await pause_ms(step_ms);
    }
}

void runner::set_cut(bool cut) {
    m_cut = cut;
    m_record.write("runner " + m_id + (cut ? " is cut off" : " is connected again"));
}

awaitable<answer> runner::handle(const request& message) {
    if (m_cut) {
        co_await pause_ms(silence_ms);
        co_return answer{};
    }
    const auto path = path_of(message);
    if (path == "/healthz") {
        co_return json_answer(200, {});
    }
    if (std::string(message["Buckthornspar-Expect-Instance"]) != m_id) {
        co_return json_answer(421, {});
    }
    end_due_runs();
    const auto body = body_of(message);
    if (path == "/v1/run-start") {
        co_return start(body);
    }
    if (path == "/v1/run-stop") {
        co_return stop(body);
    }
    if (path == "/v1/hold") {
        co_return co_await hold(body);
    }
    co_return json_answer(404, {});
}

answer runner::start(const json::object& body) {
    if (!accepts_fence(body)) {
        return refused("fence");
    }
    const auto task = text_of(body, "task");
    const auto number = integer_of(body, "run");
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.number == number) {
        return json_answer(200, {{"clock_ms", clock_ms()}, {"born", m_born_ms}});
    }
    const auto until = integer_of(body, "until_ms");
    if (until <= clock_ms()) {
        return refused("late");
    }
    extend_lease(until);
    if (present != m_running.end() || number <= m_highest_ended[task]) {
        return refused("old");
    }
    const auto spec = text_of(body, "spec");
    auto& added = m_running[task];
    added = {number, now_ms(), number_in(spec, "work_ms="),
             static_cast<std::size_t>(number_in(spec, "gang="))};
    auto& gang = gang_of(task, added);
    gang.members.insert(task);
    if (gang.members.size() == added.gang && !gang.ended) {
        gang.begun_ms = now_ms();
    }
    m_record.write("start " + task + " run " + std::to_string(number) + " on " + m_id + " fence " +
                   std::to_string(m_fence));
    return json_answer(200, {{"clock_ms", clock_ms()}, {"born", m_born_ms}});
}

answer runner::stop(const json::object& body) {
    if (!accepts_fence(body)) {
        return refused("fence");
    }
    const auto task = text_of(body, "task");
    const auto number = integer_of(body, "run");
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.number == number) {
        end_run(task, "stopped");
    }
    auto& highest = m_highest_ended[task];
    highest = std::max(highest, number);
    return json_answer(200, {{"clock_ms", clock_ms()}, {"born", m_born_ms}});
}

awaitable<answer> runner::hold(const json::object& body) {
    if (!accepts_fence(body)) {
        co_return refused("fence");
    }
    const auto seen = integer_of(body, "last_seen");
    while (!m_ended.empty() && m_ended.front().number <= seen) {
        m_record.write("noted end of " + m_ended.front().task + " run " +
                       std::to_string(m_ended.front().run) + " on " + m_id);
        m_ended.pop_front();
    }
    if (const auto until = integer_of(body, "until_ms"); until > 0) {
        extend_lease(until);
    }
    const auto life = m_life;
    const auto wait_until = now_ms() + std::min(integer_of(body, "wait_ms"), max_wait_ms);
    while (m_ended.empty() && now_ms() < wait_until) {
        co_await pause_ms(step_ms);
    }
    co_return m_up&& m_life == life ? lists() : answer{};
}

bool runner::accepts_fence(const json::object& body) {
    const auto fence = integer_of(body, "fence");
    if (fence < m_fence) {
        return false;
    }
    m_fence = fence;
    return true;
}

void runner::extend_lease(std::int64_t until_ms) {
    const auto until = now_ms() + std::min(until_ms - clock_ms(), max_lease_ms);
    m_lease_until_ms = std::max(m_lease_until_ms, until);
}

void runner::end_run(const std::string& task, const std::string& how) {
    const auto found = m_running.find(task);
    const auto number = found->second.number;
    gang_of(task, found->second).ended = true;
    m_ended.push_back({++m_last_end, task, number, how});
    auto& highest = m_highest_ended[task];
    highest = std::max(highest, number);
    m_record.write("end " + task + " run " + std::to_string(number) + " on " + m_id + " " + how);
    m_running.erase(found);
}

gang_run& runner::gang_of(const std::string& task, const run& active) {
    return m_gangs[{task.substr(0, task.rfind('.')), active.number}];
}

const char* runner::end_of(const std::string& task, const run& active) {
    auto begun_ms = active.started_ms;
    if (active.gang > 0) {
        const auto& gang = gang_of(task, active);
        begun_ms = gang.begun_ms;
        if (begun_ms == 0 || now_ms() < begun_ms + active.work_ms) {
            if (gang.ended) {
                return "broken";
            }
            if (begun_ms == 0 && now_ms() > active.started_ms + gang_ms) {
                return "alone";
            }
        }
    }
    if (begun_ms > 0 && active.work_ms > 0 && now_ms() >= begun_ms + active.work_ms) {
        return "done";
    }
    return now_ms() > m_lease_until_ms ? "lapsed" : nullptr;
}

void runner::end_due_runs() {
    std::vector<std::pair<std::string, const char*>> due;
    for (const auto& [task, run] : m_running) {
        if (const auto* const how = end_of(task, run)) {
            due.emplace_back(task, how);
        }
    }
    for (const auto& [task, how] : due) {
        end_run(task, how);
    }
}

void runner::report() {
    if (now_ms() < m_next_report_ms) {
        return;
    }
    m_next_report_ms = now_ms() + heartbeat_ms;
    const json::object capacity{{"cpu", m_settings.cpu}, {"mem_mb", m_settings.mem_mb}, {"gpu", 0}};
    m_store.put("servers/" + m_id, json::serialize(json::object{
                                       {"service", m_settings.service},
                                       {"address", "127.0.0.1:" + std::to_string(m_server.port())},
                                       {"zone", m_settings.zone},
                                       {"version", "v1"},
                                       {"slots", 8},
                                       {"state", "ready"},
                                       {"cold_remaining_ms", 0},
                                       {"capacity", capacity},
                                       {"labels", json::array{m_settings.kind, m_settings.rack}},
                                       {"clock_ms", clock_ms()},
                                       {"born", m_born_ms},
                                       {"seq", ++m_sequence}}));
}

answer runner::refused(const char* reason) const {
    return json_answer(409, {{"clock_ms", clock_ms()}, {"born", m_born_ms}, {"reason", reason}});
}

answer runner::lists() const {
    json::array running;
    for (const auto& [task, run] : m_running) {
        const auto percent =
            run.work_ms == 0
                ? 100
                : std::min<std::int64_t>(99, (now_ms() - run.started_ms) * 100 / run.work_ms);
        running.push_back(json::array{task, run.number, "", percent, 100});
    }
    json::array ended;
    for (const auto& end : m_ended) {
        if (ended.size() == max_listed_ends) {
            break;
        }
        ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
    }
    return json_answer(200, {{"clock_ms", clock_ms()},
                             {"born", m_born_ms},
                             {"running", std::move(running)},
                             {"ended", std::move(ended)}});
}

} // namespace review
