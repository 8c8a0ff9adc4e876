#include "runner.h"

#include <algorithm>
#include <optional>

namespace review {

namespace {

constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::int64_t hold_max_ms = 6000;
constexpr std::size_t listed_ends = 500;

std::uint64_t number_of(const json::object& body, const char* name) {
    const auto* const value = body.if_contains(name);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

} // namespace

void run_log::begun(const begun_run& run) {
    if (!run.task.starts_with(m_summarized)) {
        m_record.write("runner " + run.runner + " (kind " + run.kind + ") begins " + run.task +
                       " run " + std::to_string(run.run));
    }
    const std::lock_guard lock(m_mutex);
    m_starts.push_back(run);
    m_idle_since.erase(run.task);
}

void run_log::ended(const std::string& runner, const std::string& task, std::uint32_t run,
                    const std::string& how) {
    if (!task.starts_with(m_summarized)) {
        m_record.write("runner " + runner + " ends " + task + " run " + std::to_string(run) + ": " +
                       how);
    }
    const std::lock_guard lock(m_mutex);
    m_ends.emplace_back(task, how);
    m_idle_since[task] = now_ms();
}

std::int64_t run_log::idle_for(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle_since.find(task);
    return found == m_idle_since.end() ? 0 : now_ms() - found->second;
}

std::vector<begun_run> run_log::starts() {
    const std::lock_guard lock(m_mutex);
    return m_starts;
}

std::size_t run_log::ends(const std::string& job, const std::string& how) {
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_ends.begin(), m_ends.end(), [&](const auto& entry) {
            return entry.first.starts_with(job + ".") && entry.second == how;
        }));
}

runner::runner(std::string id, std::string service, store& platform, run_log& log, record& out,
               runner_kind kind)
    : m_id(std::move(id)),
      m_service(std::move(service)),
      m_store(platform),
      m_log(log),
      m_record(out),
      m_kind(std::move(kind)) {
    restart(m_kind);
    m_worker = std::thread([this] {
        while (!m_ended) {
            work();
            sleep_ms(2);
        }
    });
}

runner::~runner() {
    m_ended = true;
    m_changed.notify_all();
    m_worker.join();
    m_server.reset();
}

void runner::crash() {
    m_up = false;
    m_changed.notify_all();
    m_server.reset();
    const std::lock_guard lock(m_mutex);
    for (const auto& [task, run] : m_running) {
        m_record.write("runner " + m_id + " loses " + task + " run " + std::to_string(run.run) +
                       " by its crash");
    }
    m_running.clear();
    m_ends.clear();
    m_highest_ended.clear();
    m_silent_since = now_ms();
    m_record.write("runner " + m_id + " has crashed");
}

void runner::restart(runner_kind kind) {
    {
        const std::lock_guard lock(m_mutex);
        m_kind = std::move(kind);
        m_born = unix_ms();
        m_started_at = now_ms();
        m_seq = 0;
        m_fence = 0;
        m_lease_until = 0;
        m_next_end = 1;
        m_next_beat = 0;
        m_up = true;
    }
    m_server =
        std::make_unique<http_server>(m_port, [this](const request& r) { return handle(r); });
    m_port = m_server->port();
    m_record.write("runner " + m_id + " is up, kind " + m_kind.label + ", born " +
                   std::to_string(m_born));
}

bool runner::runs_job(const std::string& job) {
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_running.begin(), m_running.end(),
                       [&job](const auto& entry) { return entry.first.starts_with(job + "."); });
}

std::int64_t runner::clock_ms() const {
    return now_ms() - m_started_at + 1000;
}

response runner::refuse(const char* reason) const {
    return {409, json::serialize(json::object{{"clock_ms", clock_ms()}, {"reason", reason}})};
}

bool runner::accepts_fence(const json::object& body) {
    const auto fence = number_of(body, "fence");
    if (fence < m_fence) {
        return false;
    }
    m_fence = fence;
    return true;
}

void runner::extend_lease(std::int64_t until_ms) {
    m_lease_until = std::max(m_lease_until, std::min(until_ms, clock_ms() + hold_max_ms));
}

std::optional<response> runner::handle(const request& call) {
    const std::string path(call.target());
    if (path == "/healthz") {
        return response{200, "{}"};
    }
    const auto intended = call["Buckthornspar-Expect-Instance"];
    if (!intended.empty() && intended != m_id) {
        return response{421, "{}"};
    }
    const auto body = json::parse(call.body()).as_object();
    if (path == "/v1/run-start") {
        if (m_hold_up.exchange(false)) {
            hold_up(body);
            return std::nullopt;
        }
        return start(body);
    }
    if (path == "/v1/run-stop") {
        return stop(body);
    }
    if (path == "/v1/hold") {
        return hold(body);
    }
    return response{404, "{}"};
}

// The sender gets no answer until it gives up or the connection ends.
void runner::hold_up(const json::object& body) {
    constexpr std::int64_t longest_ms = 3000;
    {
        const std::lock_guard lock(m_mutex);
        m_held_up = body;
    }
    m_record.write("a start of " + json::value_to<std::string>(body.at("task")) + " run " +
                   std::to_string(number_of(body, "run")) + ", until_ms " +
                   std::to_string(number_of(body, "until_ms")) + ", is held up on its way to " +
                   m_id);
    const auto until = now_ms() + longest_ms;
    while (m_up && now_ms() < until) {
        sleep_ms(5);
    }
}

bool runner::has_held_up_order() {
    const std::lock_guard lock(m_mutex);
    return m_held_up.has_value();
}

void runner::deliver_held_up_order() {
    std::optional<json::object> body;
    {
        const std::lock_guard lock(m_mutex);
        body.swap(m_held_up);
    }
    const auto answer = start(*body);
    m_record.write("the start that was held up arrives at " + m_id + ", which answers " +
                   std::to_string(answer.status) + " " + answer.body);
}

response runner::start(const json::object& body) {
    const std::lock_guard lock(m_mutex);
    if (!accepts_fence(body)) {
        return refuse("fence");
    }
    const auto task = json::value_to<std::string>(body.at("task"));
    const auto run = body.at("run").to_number<std::uint32_t>();
    const auto until = body.at("until_ms").to_number<std::int64_t>();
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.run == run) {
        return {200, json::serialize(json::object{{"clock_ms", clock_ms()}})};
    }
    if (until <= clock_ms()) {
        return refuse("late");
    }
    extend_lease(until);
    const auto ended = m_highest_ended.find(task);
    if (present != m_running.end() || (ended != m_highest_ended.end() && run <= ended->second)) {
        return refuse("old");
    }
    const auto spec = json::value_to<std::string>(body.at("spec"));
    active_run added;
    added.run = run;
    const auto work = spec.find("work_ms=");
    added.work_ms = work == std::string::npos ? 1000 : std::stoll(spec.substr(work + 8));
    if (const auto spread = spec.find("spread_ms="); spread != std::string::npos) {
        const auto seed = std::hash<std::string>{}(task) + std::size_t{run} * 7919U;
        added.work_ms += static_cast<std::int64_t>(seed % std::stoull(spec.substr(spread + 10)));
    }
    added.done_at = now_ms() + added.work_ms;
    added.fails = spec.find("fail") != std::string::npos;
    m_running[task] = added;
    m_log.begun({now_ms(), m_id, m_born, task, run, m_kind.label});
    return {200, json::serialize(json::object{{"clock_ms", clock_ms()}})};
}

response runner::stop(const json::object& body) {
    const std::lock_guard lock(m_mutex);
    if (!accepts_fence(body)) {
        return refuse("fence");
    }
    const auto task = json::value_to<std::string>(body.at("task"));
    const auto run = body.at("run").to_number<std::uint32_t>();
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.run == run) {
        end_run(task, "stopped");
    }
    auto& highest = m_highest_ended[task];
    highest = std::max(highest, run);
    return {200, json::serialize(json::object{{"clock_ms", clock_ms()}})};
}

response runner::hold(const json::object& body) {
    std::unique_lock lock(m_mutex);
    if (!accepts_fence(body)) {
        return refuse("fence");
    }
    const auto seen = number_of(body, "last_seen");
    while (!m_ends.empty() && m_ends.front().number <= seen) {
        m_ends.pop_front();
    }
    if (const auto until = number_of(body, "until_ms"); until > 0) {
        extend_lease(static_cast<std::int64_t>(until));
    }
    const auto born = m_born;
    const auto wait = std::min<std::uint64_t>(number_of(body, "wait_ms"), 2000);
    m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                       [&] { return !m_ends.empty() || m_born != born || !m_up || m_ended; });
    json::array running;
    for (const auto& [task, run] : m_running) {
        const auto left = std::max<std::int64_t>(0, run.done_at - now_ms());
        const auto percent = run.work_ms == 0 ? 100 : 100 - left * 100 / run.work_ms;
        running.push_back(json::array{task, run.run, "", percent, 0});
    }
    json::array ended;
    for (const auto& end : m_ends) {
        if (ended.size() == listed_ends) {
            break;
        }
        ended.push_back(json::array{end.number, end.task, end.run, end.how, ""});
    }
    return {200, json::serialize(json::object{{"clock_ms", clock_ms()},
                                              {"born", m_born},
                                              {"running", std::move(running)},
                                              {"ended", std::move(ended)}})};
}

void runner::end_run(const std::string& task, const std::string& how) {
    const auto run = m_running.at(task).run;
    m_running.erase(task);
    m_ends.push_back({m_next_end++, task, run, how});
    auto& highest = m_highest_ended[task];
    highest = std::max(highest, run);
    m_log.ended(m_id, task, run, how);
    m_changed.notify_all();
}

void runner::work() {
    std::unique_lock lock(m_mutex);
    const auto now = now_ms();
    if (!m_up) {
        // The platform removes an entry after three heartbeat intervals of silence.
        if (m_silent_since != 0 && now > m_silent_since + 3 * heartbeat_ms) {
            m_silent_since = 0;
            lock.unlock();
            m_store.remove("servers/" + m_id);
        }
        return;
    }
    std::vector<std::pair<std::string, std::string>> ending;
    for (const auto& [task, run] : m_running) {
        if (now >= run.done_at) {
            ending.emplace_back(task, run.fails ? "failed" : "done");
        } else if (clock_ms() > m_lease_until) {
            ending.emplace_back(task, "lapsed");
        }
    }
    for (const auto& [task, how] : ending) {
        end_run(task, how);
    }
    if (now >= m_next_beat) {
        m_next_beat = now + heartbeat_ms;
        lock.unlock();
        beat();
    }
}

void runner::beat() {
    json::object entry;
    {
        const std::lock_guard lock(m_mutex);
        entry = {
            {"service", m_service},
            {"address", "127.0.0.1:" + std::to_string(m_port)},
            {"zone", "z1"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"capacity", json::object{{"cpu", m_kind.cpu}, {"mem_mb", m_kind.mem_mb}, {"gpu", 0}}},
            {"labels", json::array{m_kind.label, "r1-1"}},
            {"clock_ms", clock_ms()},
            {"born", m_born},
            {"seq", ++m_seq}};
    }
    if (m_up && !m_store.down()) {
        m_store.put("servers/" + m_id, json::serialize(entry));
    }
}

} // namespace review
