#include "scenario/routing/routing_world.h"

#include <algorithm>

namespace buckthornspar::scenario {

namespace {

constexpr int default_slots = 4;
constexpr common::duration default_work = std::chrono::milliseconds(50);
constexpr common::duration default_deadline = std::chrono::seconds(3);
constexpr common::duration default_list_period = std::chrono::milliseconds(500);
constexpr std::uint16_t first_port = 9000;

std::string region_name(std::int64_t number) {
    return "region" + std::to_string(number);
}

} // namespace

routing_world::routing_world(const script& s)
    : m_script(s),
      m_random(s.seed),
      m_network(m_schedule, s.seed + 1),
      m_defect(s.setup.text("defect", "")),
      m_start(m_schedule.now()) {
    const std::int64_t regions = s.setup.number("regions", 1);
    m_network.set_duplicate_deliveries(s.setup.flag("twice", false));
    m_network.set_after_event([this](runner_node& r) { m_checks.on_runner_event(r.model); });
    for (std::int64_t i = 0; i < s.setup.number("runners", 3); ++i) {
        add_runner("r" + std::to_string(i + 1), region_name(i % regions));
    }
    for (std::int64_t i = 0; i < s.setup.number("entries", 2); ++i) {
        add_entry("e" + std::to_string(m_next_entry++), region_name(i % regions));
    }
    refresh_list();
}

routing_world::~routing_world() = default;

void routing_world::add_entry(const std::string& id, const std::string& region) {
    auto e = std::make_unique<entry_node>();
    e->id = id;
    e->region = region;
    routing::engine_settings settings;
    settings.route.setup.entry_id = id;
    settings.route.setup.region = region;
    settings.route.policy = m_script.setup.text("policy", "slot_grants");
    settings.route.queue.max_waiting =
        static_cast<std::size_t>(m_script.setup.number("max_waiting", 2000));
    settings.max_per_caller =
        static_cast<std::size_t>(m_script.setup.number("max_per_caller", 500));
    e->engine = std::make_unique<routing::request_engine>(settings, e->metrics, m_random.next());
    m_entries[id] = std::move(e);
    with_engine(id, [&](auto& engine) { engine.on_instances(make_list(), now()); });
}

void routing_world::add_runner(const std::string& id, const std::string& region) {
    const auto slots = static_cast<std::uint32_t>(m_script.setup.number("slots", default_slots));
    auto r = std::make_unique<runner_node>(id, slots);
    r->region = region;
    r->address = {"127.0.0.1", static_cast<std::uint16_t>(first_port + m_runners.size())};
    // Runners that exist at the start have been running for a long time.
    r->model.set_started(now() == m_start ? now() - std::chrono::hours(1) : now());
    r->model.set_ignores_slots(m_defect == "ignore_slots");
    m_runners[id] = std::move(r);
}

void routing_world::kill_entry(const std::string& id) {
    entry(id).alive = false;
    m_checks.on_entry_killed(id);
}

routing_world::entry_node& routing_world::entry(const std::string& id) {
    const auto position = m_entries.find(id);
    if (position == m_entries.end()) {
        throw script_error("no entry " + id);
    }
    return *position->second;
}

runner_node& routing_world::runner(const std::string& id) {
    const auto position = m_runners.find(id);
    if (position == m_runners.end()) {
        throw script_error("no runner " + id);
    }
    return *position->second;
}

void routing_world::run_until(common::duration since_start) {
    const common::time_point until = m_start + since_start;
    while (m_schedule.run_next(until)) {
    }
    m_schedule.set_now(until);
}

void routing_world::act(const step& s) {
    if (s.verb == "submit") {
        submit(s.args, s.args.text("id"), s.args.text("entry", "e1"));
    } else if (s.verb == "load") {
        start_load(s.args);
    } else if (s.verb == "list") {
        m_list_available = s.args.text("state") == "up";
    } else if (s.verb == "replace_entry") {
        const std::string id = s.args.text("entry");
        const std::string region = entry(id).region;
        kill_entry(id);
        add_entry("e" + std::to_string(m_next_entry++), region);
    } else if (s.verb == "drain") {
        with_engine(s.args.text("entry"), [](auto& engine) { engine.drain(); });
    } else if (s.verb == "silence") {
        m_network.silence(s.args.text("entry"), s.args.text("runner"));
    } else if (s.verb == "peers") {
        m_network.set_peer_faults({static_cast<std::uint64_t>(s.args.number("lose", 0)),
                                   s.args.time("late", common::duration(0)),
                                   s.args.text("cut_off", "")});
    } else if (s.verb == "half_open") {
        m_network.half_open(s.args.text("entry"), s.args.text("runner"));
    } else {
        act_on_runner(s);
    }
}

void routing_world::act_on_runner(const step& s) {
    if (s.verb == "add_runner") {
        add_runner(s.args.text("runner"), region_name(s.args.number("region", 0)));
        return;
    }
    runner_node& r = runner(s.args.text("runner"));
    if (s.verb == "fault") {
        r.model.set_reply_delay(s.args.time("by", std::chrono::milliseconds(500)));
        r.model.set_fault(fakes::runner_fault_from(s.args.text("kind")), now());
    } else if (s.verb == "wrong_id") {
        r.wrong_id_next = true;
    } else if (s.verb == "leaving") {
        r.leaving_since = now();
        r.model.set_leaving(m_defect != "hide_leaving");
    } else if (s.verb == "stop") {
        r.model.restart(now());
        r.up = false;
        r.listed = s.args.flag("listed", false);
        m_network.end_connections(r.model.id());
    } else if (s.verb == "restart") {
        m_network.end_connections(r.model.id());
        r.model.restart(now());
        r.up = true;
        r.listed = true;
        r.leaving_since.reset();
    } else {
        throw script_error("unknown action '" + s.verb + "'");
    }
    m_network.process_runner(r);
}

void routing_world::submit(const arguments& args, const std::string& id, const std::string& to) {
    const auto known = m_idempotent.find(id);
    if (!entry(to).alive || (args.flag("repeat", false) && known == m_idempotent.end())) {
        return;
    }
    routing::request r;
    r.key = m_next_key++;
    r.id = id;
    r.service = args.text("service", "planner");
    r.caller = args.text("caller", "caller");
    r.priority = routing::request_class_from(args.text("class", "normal"));
    r.deadline = now() + args.time("deadline", m_script.setup.time("deadline", default_deadline));
    // A caller repeats a request with the same properties.
    r.idempotent = known != m_idempotent.end() ? known->second : args.flag("idempotent", false);
    m_idempotent[id] = r.idempotent;
    r.repeat = args.flag("repeat", false);
    r.body = std::make_shared<const std::string>("body:" + id);
    m_work[id] = args.time("work", m_script.setup.time("work", default_work));
    submission record;
    record.id = id;
    record.entry = to;
    record.idempotent = r.idempotent;
    record.repeat = r.repeat;
    record.deadline = r.deadline;
    record.submitted = now();
    m_checks.on_submitted(r.key, std::move(record));
    with_engine(to, [&](auto& engine) { engine.submit(r, now()); });
}

void routing_world::start_load(const arguments& args) {
    schedule_next_load(args, now() + args.time("for"));
}

void routing_world::schedule_next_load(const arguments& args, common::time_point until) {
    const double mean_us = 1e6 / static_cast<double>(args.number("rate"));
    const common::time_point next =
        now() + common::duration(static_cast<std::int64_t>(m_random.exponential(mean_us)));
    if (next >= until) {
        return;
    }
    m_schedule.at(next, [this, args, until] {
        std::vector<std::string> live;
        for (const auto& [id, e] : m_entries) {
            if (e->alive && !e->engine->draining()) {
                live.push_back(id);
            }
        }
        const std::string to =
            args.text("entry", live.empty() ? "" : live[m_random.below(live.size())]);
        arguments chosen = args;
        const double idempotent = static_cast<double>(args.number("idempotent_percent", 50)) / 100;
        chosen.set("idempotent", m_random.chance(idempotent) ? "true" : "false");
        if (!to.empty()) {
            submit(chosen, "load" + std::to_string(m_next_key), to);
        }
        schedule_next_load(args, until);
    });
}

membership::instance_snapshot routing_world::make_list() const {
    membership::instance_snapshot list;
    for (const auto& [id, r] : m_runners) {
        if (r->listed) {
            const bool leaving = r->leaving_since && m_defect != "hide_leaving";
            list.instances.push_back(
                {id, membership::instance_role::runner, r->address, r->region, r->region, "",
                 leaving ? membership::instance_state::leaving : membership::instance_state::live,
                 "planner", r->model.slots()});
        }
    }
    for (const auto& [id, e] : m_entries) {
        if (e->alive) {
            list.instances.push_back({id,
                                      membership::instance_role::entry,
                                      {},
                                      e->region,
                                      e->region,
                                      "",
                                      membership::instance_state::live,
                                      "",
                                      0});
        }
    }
    return list;
}

void routing_world::refresh_list() {
    if (m_list_available) {
        const auto list = make_list();
        for (const auto& [id, e] : m_entries) {
            with_engine(id, [&](auto& engine) { engine.on_instances(list, now()); });
        }
    }
    m_schedule.at(now() + m_script.setup.time("list_period", default_list_period),
                  [this] { refresh_list(); });
}

void routing_world::after_engine_event(entry_node& e) {
    for (const auto& a : e.engine->take_actions()) {
        carry_out(e, a);
    }
    const common::time_point next = std::max(e.engine->next_wakeup(), now());
    if (next >= e.wake_at) {
        return;
    }
    e.wake_at = next;
    m_schedule.at(next, [this, id = e.id, next] {
        entry_node& woken = entry(id);
        if (woken.wake_at == next) {
            woken.wake_at = common::time_point::max();
            with_engine(id, [&](auto& engine) { engine.tick(now()); });
        }
    });
}

void routing_world::carry_out(entry_node& e, const routing::action& a) {
    const std::string id = e.id;
    if (const auto* run = std::get_if<routing::run_call>(&a)) {
        send_run(e, *run);
    } else if (const auto* query = std::get_if<routing::query_call>(&a)) {
        m_network.query(e.region, runner(query->runner), *query, [this, id](auto result) {
            with_engine(id, [&](auto& engine) { engine.on_query_result(result, now()); });
        });
    } else if (const auto* ping = std::get_if<routing::ping_call>(&a)) {
        m_network.ping(e.region, runner(ping->runner), *ping, [this, id](auto result) {
            with_engine(id, [&](auto& engine) { engine.on_ping_result(result, now()); });
        });
    } else if (const auto* abandon = std::get_if<routing::abandon_call>(&a)) {
        m_network.abandon(id, abandon->token);
    } else if (const auto* replace = std::get_if<routing::replace_connections>(&a)) {
        for (const auto& [runner_id, r] : m_runners) {
            if (r->address == replace->address) {
                m_network.replace_connections(id, runner_id);
            }
        }
    } else if (const auto* answer = std::get_if<routing::caller_answer>(&a)) {
        deliver_answer(*answer);
    } else if (const auto* message = std::get_if<routing::peer_message>(&a)) {
        send_peer_message(e, *message);
    }
}

void routing_world::send_run(entry_node& e, const routing::run_call& call) {
    const auto complete = [this, id = e.id](auto result) {
        with_engine(id, [&](auto& engine) { engine.on_run_result(result, now()); });
    };
    runner_node& to = runner(call.runner);
    m_checks.on_run_sent(call.runner, to.leaving_since, now());
    m_network.run(e.id, e.region, to, call, work_of(call.request_id), complete);
    if (m_defect == "send_twice") {
        for (auto& [id, other] : m_runners) {
            if (id != call.runner) {
                m_network.run(e.id, e.region, *other, call, work_of(call.request_id), complete);
                return;
            }
        }
    }
}

void routing_world::send_peer_message(const entry_node& e, const routing::peer_message& message) {
    const auto to = m_entries.find(message.entry);
    if (to == m_entries.end()) {
        return;
    }
    routing::peer_message received = message;
    received.entry = e.id;
    m_network.send_peer({e.id, message.entry}, {e.region, to->second->region},
                        [this, id = message.entry, received] {
                            with_engine(
                                id, [&](auto& engine) { engine.on_peer_message(received, now()); });
                        });
}

void routing_world::deliver_answer(routing::caller_answer answer) {
    if (m_defect == "drop_answer" && answer.key % 3 == 0) {
        return;
    }
    if (m_defect == "swap_body") {
        answer.body = "answer:body:another";
    }
    if (m_defect == "cut_body" && !answer.body.empty()) {
        answer.body.pop_back();
    }
    if (m_defect == "deny_run" && answer.outcome == routing::run_outcome::ran) {
        answer.outcome = routing::run_outcome::not_run;
    }
    m_checks.on_answer(answer, now());
    if (m_defect == "answer_twice") {
        m_checks.on_answer(answer, now());
    }
}

common::duration routing_world::work_of(const std::string& id) const {
    const auto position = m_work.find(id);
    return position == m_work.end() ? default_work : position->second;
}

void routing_world::expect(const step& s) {
    if (s.verb == "counter") {
        const std::int64_t value =
            entry(s.args.text("entry", "e1"))
                .metrics
                .get(s.args.text("name"), s.args.text("label", "reason"), s.args.text("value"))
                .value();
        if (value < s.args.number("at_least", 1) || value > s.args.number("at_most", INT64_MAX)) {
            throw violation("counter " + s.args.text("value") + " is " + std::to_string(value));
        }
        return;
    }
    if (s.verb == "idle") {
        if (entry(s.args.text("entry")).engine->unanswered() > 0) {
            throw violation("requests of the entry have not been answered");
        }
        return;
    }
    if (s.verb == "sent_share") {
        const auto& executions = runner(s.args.text("runner")).model.executions();
        const auto count = static_cast<std::int64_t>(executions.size());
        if (count > s.args.number("at_most")) {
            throw violation(std::to_string(count) + " executions at the runner");
        }
        return;
    }
    if (s.verb == "response_time") {
        const auto time =
            m_checks.response_time(m_start + s.args.time("from"), m_start + s.args.time("until"),
                                   s.args.number("percent", 99));
        if (time > s.args.time("at_most")) {
            throw violation("response time is " + std::to_string(time.count()) + " us");
        }
        return;
    }
    if (s.verb != "outcome") {
        throw script_error("unknown expectation '" + s.verb + "'");
    }
    const std::string id = s.args.text("id");
    const submission* last = nullptr;
    for (const auto& [key, candidate] : m_checks.submissions()) {
        if (candidate.id == id) {
            last = &candidate;
        }
    }
    if (last == nullptr || !last->answer) {
        throw violation(id + " has no answer");
    }
    const auto& answer = *last->answer;
    const std::string reason(answer.reason ? to_string(*answer.reason) : "");
    if (to_string(answer.outcome) != s.args.text("is") || reason != s.args.text("reason", reason)) {
        throw violation(id + " is " + std::string(to_string(answer.outcome)) + " " + reason);
    }
}

void routing_world::finish() {
    m_checks.on_end(now());
}

world_factory make_routing_world() {
    return [](const script& s) { return std::make_unique<routing_world>(s); };
}

} // namespace buckthornspar::scenario
