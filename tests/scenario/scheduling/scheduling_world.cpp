#include "scenario/scheduling/scheduling_world.h"

#include "scenario/scheduling/simulation.h"

#include <functional>

namespace buckthornspar::scenario {

using namespace scheduling;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string name_of(const simulation& sim, const step& s, std::string_view key) {
    std::string name = s.args.text(key);
    if (name != "owner") {
        return name;
    }
    // Without an owner, the first scheduler is used, so that the step can still be run.
    const std::string owner = sim.owner();
    return owner.empty() ? "s1" : owner;
}

std::vector<std::string> workers_of(const simulation& sim, const step& s) {
    if (s.args.has("worker")) {
        return {s.args.text("worker")};
    }
    std::vector<std::string> found;
    for (const auto& [id, w] : sim.workers) {
        if (!s.args.has("rack") || w.listing.rack == s.args.text("rack")) {
            found.push_back(id);
        }
    }
    return found;
}

job_spec job_of(const step& s) {
    job_spec job;
    job.id = s.args.text("job");
    job.team = s.args.text("team", "team");
    job.kind = placement::workload_kind_names.value(s.args.text("kind", "batch"));
    job.priority = placement::priority_class_names.value(s.args.text("class", "normal"));
    job.idempotent = s.args.flag("idempotent", true);
    job.tasks = static_cast<std::uint32_t>(s.args.number("tasks", 1));
    job.demand = {s.args.number("cpu", 1000), s.args.number("memory", 500), 0};
    job.run_ms = s.args.time("run", milliseconds(500)) / milliseconds(1);
    job.deadline_ms = s.args.time("deadline", common::duration(0)) / milliseconds(1);
    job.fail = s.args.flag("fail", false);
    return job;
}

class scheduling_world final : public world {
public:
    explicit scheduling_world(const script& s) : m_sim(s), m_script(s) {
        if (s.setup.has("heal_at")) {
            m_heal_at = common::time_point(s.setup.time("heal_at"));
        }
    }

    void run_until(common::duration since_start) override {
        const common::time_point until(since_start);
        if (m_heal_at && *m_heal_at <= until) {
            m_sim.run_until(*std::exchange(m_heal_at, std::nullopt));
            heal_all();
        }
        m_sim.run_until(until);
    }

    void act(const step& s) override {
        using action = std::function<void(scheduling_world&, const step&)>;
        static const std::map<std::string, action, std::less<>> actions{
            {"submit", &scheduling_world::submit},
            {"cancel", [](auto& w, const step& st) { w.m_sim.cancel(st.args.text("job")); }},
            {"crash",
             [](auto& w, const step& st) { w.m_sim.crash(name_of(w.m_sim, st, "scheduler")); }},
            {"start",
             [](auto& w, const step& st) { w.m_sim.start_scheduler(st.args.text("scheduler")); }},
            {"pause",
             [](auto& w, const step& st) { w.m_sim.pause(name_of(w.m_sim, st, "scheduler")); }},
            {"resume", &scheduling_world::resume},
            {"drain",
             [](auto& w, const step& st) { w.m_sim.drain(name_of(w.m_sim, st, "scheduler")); }},
            {"kill_worker",
             [](auto& w, const step& st) {
                 for (const auto& id : workers_of(w.m_sim, st)) {
                     w.m_sim.kill_worker(id);
                 }
             }},
            {"restart_worker",
             [](auto& w, const step& st) {
                 for (const auto& id : workers_of(w.m_sim, st)) {
                     w.m_sim.restart_worker(id);
                 }
             }},
            {"leave",
             [](auto& w, const step& st) { w.m_sim.mark_leaving(st.args.text("worker")); }},
            {"worker", &scheduling_world::set_worker},
            {"use", &scheduling_world::set_use},
            {"policy", &scheduling_world::set_policy},
            {"store", &scheduling_world::set_store},
            {"network", &scheduling_world::set_network},
            {"cut", &scheduling_world::cut},
            {"heal", [](auto& w, const step&) { w.m_sim.network = {}; }},
        };
        const auto position = actions.find(s.verb);
        if (position == actions.end()) {
            throw script_error("unknown action '" + s.verb + "'");
        }
        position->second(*this, s);
    }

    void expect(const step& s) override {
        using check = std::function<void(scheduling_world&, const step&)>;
        static const std::map<std::string, check, std::less<>> checks{
            {"running", &scheduling_world::expect_running},
            {"starts", &scheduling_world::expect_starts},
            {"job", &scheduling_world::expect_job},
            {"answer", &scheduling_world::expect_answer},
            {"owner", &scheduling_world::expect_owner},
            {"counter", &scheduling_world::expect_counter},
        };
        const auto position = checks.find(s.verb);
        if (position == checks.end()) {
            throw script_error("unknown expectation '" + s.verb + "'");
        }
        position->second(*this, s);
    }

    void finish() override { m_sim.check_end(m_script.setup.flag("all_end", true)); }

private:
    static void require(bool holds, const std::string& problem) {
        if (!holds) {
            throw violation(problem);
        }
    }

    static void require_range(const step& s, std::int64_t value, const std::string& what) {
        const std::int64_t exact = s.args.number("is", value);
        require(value == exact && value >= s.args.number("min", value) &&
                    value <= s.args.number("max", value),
                what + " is " + std::to_string(value));
    }

    /// Ends all faults, and restarts s1 and s2 in case they have crashed or were drained.
    void heal_all() {
        m_sim.network = {};
        m_sim.store().faults = {};
        for (auto& [id, scheduler] : m_sim.schedulers) {
            scheduler.store_path = {};
        }
        for (auto& [id, w] : m_sim.workers) {
            w.model.faults().silent = false;
            w.model.faults().lose_answers = false;
            w.model.faults().fail_every_task = false;
        }
        for (auto& [id, scheduler] : m_sim.schedulers) {
            if (scheduler.paused) {
                m_sim.resume(id);
            }
        }
        m_sim.start_scheduler("s1");
        m_sim.start_scheduler("s2");
    }

    void submit(const step& s) {
        for (std::int64_t copy = 0; copy < s.args.number("copies", 1); ++copy) {
            m_sim.submit(job_of(s), s.args.time("patience", seconds(60)));
        }
    }

    void resume(const step& s) {
        if (s.args.has("scheduler")) {
            m_sim.resume(s.args.text("scheduler"));
            return;
        }
        for (auto& [id, scheduler] : m_sim.schedulers) {
            if (scheduler.paused) {
                m_sim.resume(id);
            }
        }
    }

    void set_worker(const step& s) {
        for (const auto& id : workers_of(m_sim, s)) {
            auto& faults = m_sim.workers.at(id).model.faults();
            faults.silent = s.args.flag("silent", faults.silent);
            faults.lose_answers = s.args.flag("lose_answers", faults.lose_answers);
            faults.fail_every_task = s.args.flag("fail_every_task", faults.fail_every_task);
            faults.slow_by_ms = s.args.number("slow_by_ms", faults.slow_by_ms);
            faults.ignore_throttle = s.args.flag("ignore_throttle", faults.ignore_throttle);
        }
    }

    void set_use(const step& s) {
        for (auto& [id, worker] : m_sim.workers) {
            worker.model.set_use(s.args.text("task"), {s.args.number("cpu"), 0, 0});
        }
    }

    void set_policy(const step& s) {
        shard_policy policy;
        if (s.args.has("team")) {
            policy.quotas[s.args.text("team")] = {s.args.number("cpu"), 1'000'000, 0};
        }
        if (s.args.has("exclude")) {
            policy.excluded_workers.insert(s.args.text("exclude"));
        }
        if (s.args.has("max_tasks")) {
            policy.max_tasks_per_job = static_cast<std::uint32_t>(s.args.number("max_tasks"));
        }
        if (s.args.has("max_pending")) {
            policy.max_pending_jobs_per_team =
                static_cast<std::size_t>(s.args.number("max_pending"));
        }
        if (s.args.has("max_failures")) {
            policy.workloads[placement::workload_kind::batch] = {
                {"best_fit", placement::spread_rule::none},
                static_cast<std::uint32_t>(s.args.number("max_failures"))};
        }
        for (auto& [id, scheduler] : m_sim.schedulers) {
            if (scheduler.engine) {
                scheduler.engine->set_policy(m_sim.now(), policy);
            }
        }
    }

    void set_store(const step& s) {
        // Without a scheduler, the faults apply to all of them.
        auto& faults = s.args.has("scheduler")
                           ? m_sim.schedulers.at(name_of(m_sim, s, "scheduler")).store_path
                           : m_sim.store().faults;
        faults.down = s.args.flag("down", false);
        faults.lose_answers = s.args.flag("lose_answers", false);
        faults.delay = s.args.time("delay", common::duration(0));
    }

    void set_network(const step& s) {
        const auto rate = [&](std::string_view key) {
            return static_cast<std::uint64_t>(s.args.number(key, 0));
        };
        m_sim.network.loss = rate("loss");
        m_sim.network.duplicate = rate("duplicate");
        m_sim.network.slow = rate("slow");
    }

    void cut(const step& s) {
        const std::string from = name_of(m_sim, s, "from");
        for (const auto& to : s.args.list("to")) {
            m_sim.network.cuts.emplace(from, to);
            if (s.args.flag("both", false)) {
                m_sim.network.cuts.emplace(to, from);
            }
        }
    }

    void expect_running(const step& s) {
        const std::string job = s.args.text("job");
        require_range(s, static_cast<std::int64_t>(m_sim.running_of(job)),
                      "running tasks of " + job);
    }

    void expect_starts(const step& s) {
        const std::string job = s.args.text("job");
        require_range(s, static_cast<std::int64_t>(m_sim.starts_of(job)), "starts of " + job);
    }

    void expect_job(const step& s) {
        const std::string job = s.args.text("job");
        const auto* const engine = m_sim.owner_engine();
        require(engine != nullptr, "the shard has no owner");
        const std::string body = engine->status(job).body;
        for (const std::string key : {"state", "outcome", "reason"}) {
            if (s.args.has(key)) {
                std::string part = "\"";
                part.append(key).append("\":\"").append(s.args.text(key)).append("\"");
                std::string problem = body;
                problem.append(" does not contain ").append(part);
                require(body.find(part) != std::string::npos, problem);
            }
        }
    }

    void expect_answer(const step& s) {
        const std::string job = s.args.text("job");
        for (const auto& call : m_sim.calls) {
            if (call->job.id != job || call->cancel != s.args.flag("cancel", false)) {
                continue;
            }
            require(call->answer.has_value(), "no reply for job " + job);
            const auto reason = to_string(call->answer->reason);
            require(reason == s.args.text("reason", "none"),
                    "job " + job + " has a reply with reason " + std::string(reason));
        }
    }

    void expect_owner(const step& s) {
        const std::string owner = m_sim.owner();
        require(!s.args.has("is") || owner == s.args.text("is"), "owner is '" + owner + "'");
        require(!s.args.has("not") || owner != s.args.text("not"), "owner is '" + owner + "'");
        require(!owner.empty(), "the shard has no owner");
    }

    void expect_counter(const step& s) {
        const std::string name = s.args.text("name");
        require_range(s, m_sim.counter(name), name);
    }

    simulation m_sim;
    script m_script;
    std::optional<common::time_point> m_heal_at;
};

} // namespace

std::unique_ptr<world> make_scheduling_world(const script& s) {
    return std::make_unique<scheduling_world>(s);
}

} // namespace buckthornspar::scenario
