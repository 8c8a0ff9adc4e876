#include "scenario/config/config_world.h"

#include "core/store/log_format.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scenario {

using namespace std::chrono_literals;

namespace {

constexpr common::duration heartbeat_period = 500ms;
constexpr common::duration latency_in_region = 1ms;
constexpr common::duration latency_between_regions = 20ms;
constexpr common::duration late_duplicate = 700ms;

/// Compare-and-swap check of a log with one key per number that creates absent keys and prunes
/// those of the previous round: a number can be created again once the slot holds a later one.
bool create_if_absent(const store::kv_request& request, const store::kv_entry* entry) {
    if (request.key.find("/slot/") == std::string::npos) {
        return (entry == nullptr ? 0 : entry->modify_index) == request.expected_index;
    }
    return entry == nullptr ||
           store::decode_record(entry->value).number != store::decode_record(request.value).number;
}

} // namespace

config_world::config_world(const script& s) : m_kv(m_events) {
    m_mutation = s.setup.text("mutation", "");
    m_duplicates = s.setup.flag("duplicates", false);
    if (m_mutation == "create_if_absent") {
        m_kv.cas_check = create_if_absent;
    } else if (m_mutation == "no_compare") {
        m_kv.cas_check = [](const auto&, const auto*) { return true; };
    }
    m_kv.on_write = [this](const store::kv_entry& entry) { on_write(entry); };
    build(s.setup);
    m_events.after(heartbeat_period, [this] { send_heartbeats(); });
    m_has_heal_time = s.setup.has("heal_at");
    if (m_has_heal_time) {
        m_events.after(s.setup.time("heal_at"), [this] { heal_all(); });
    }
}

void config_world::finish() {
    if (m_has_heal_time) {
        expect_converged();
    }
}

void config_world::build(const arguments& setup) {
    config_environment environment{
        m_events, m_kv, {}, {}, static_cast<std::uint64_t>(setup.number("slots", 8))};
    environment.announce = [this](const auto& from, const auto& records) {
        announce(from, records);
    };
    environment.reported = [this](const auto&, auto ticket, const auto& a) { reported(ticket, a); };
    for (std::int64_t r = 0; r < setup.number("regions", 2); ++r) {
        const std::string region = std::to_string(r);
        for (std::int64_t i = 0; i < setup.number("configs", 2); ++i) {
            const std::string id = "c" + region + "." + std::to_string(i);
            m_processes[id] = std::make_unique<config_process>(id, region, true, environment);
            m_region_configs[region].push_back(id);
        }
        for (std::int64_t i = 0; i < setup.number("members", 1); ++i) {
            const std::string id = "m" + region + "." + std::to_string(i);
            m_processes[id] = std::make_unique<config_process>(id, region, false, environment);
        }
    }
    const bool store_down = setup.flag("store_down", false);
    m_kv.faults.down = store_down;
    for (auto& [id, p] : m_processes) {
        p->start();
    }
}

config_process& config_world::process(const std::string& id) {
    const auto position = m_processes.find(id);
    if (position == m_processes.end()) {
        throw script_error("no process '" + id + "'");
    }
    return *position->second;
}

void config_world::run_until(common::duration since_start) {
    m_events.run_until(common::time_point(since_start), [this] { check(); });
}

void config_world::check() {
    for (const auto& [id, p] : m_processes) {
        if (p->alive()) {
            m_checker.on_version(id, p->view());
        }
    }
}

// Messages between processes.

void config_world::send_heartbeats() {
    for (auto& [id, from] : m_processes) {
        if (!from->running()) {
            continue;
        }
        if (from->is_config()) {
            from->update_watcher(m_region_configs[from->region()]);
        }
        for (auto& [other, to] : m_processes) {
            if (other != id) {
                send_version(*from, *to);
            }
        }
    }
    m_events.after(heartbeat_period, [this] { send_heartbeats(); });
}

bool config_world::is_cut(const config_process& a, const config_process& b) const {
    return a.region() != b.region() &&
           (m_cut_regions.contains(a.region()) || m_cut_regions.contains(b.region()));
}

void config_world::send(const std::string& from, const std::string& to,
                        std::function<void()> event) {
    config_process& sender = process(from);
    config_process& receiver = process(to);
    if (is_cut(sender, receiver)) {
        return;
    }
    const auto latency =
        sender.region() == receiver.region() ? latency_in_region : latency_between_regions;
    const auto arrive = [&receiver, event = std::move(event)] { receiver.deliver(event); };
    m_events.after(latency, arrive);
    if (m_duplicates) {
        m_events.after(latency + late_duplicate, arrive);
    }
}

void config_world::send_version(config_process& from, config_process& to) {
    const std::uint64_t version = from.view().version();
    send(from.id(), to.id(), [this, &from, &to, version] {
        to.heard(from.id());
        if (to.view().is_behind(version) && m_mutation != "no_pull") {
            pull(from, to);
        }
    });
}

void config_world::pull(config_process& from, config_process& to) {
    send(to.id(), from.id(), [this, &from, &to, version = to.view().version()] {
        send(from.id(), to.id(),
             [&to, records = from.view().since(version)] { to.apply_records(records); });
    });
}

void config_world::announce(const std::string& from,
                            const std::vector<config::version_record>& records) {
    for (auto& [id, to] : m_processes) {
        if (id != from && to->region() == process(from).region() && m_mutation != "no_pull") {
            send(from, id, [p = to.get(), records] { p->apply_records(records); });
        }
    }
}

// Store and operators.

void config_world::on_write(const store::kv_entry& entry) {
    m_checker.on_write(entry);
    if (entry.key.find("/slot/") == std::string::npos) {
        return;
    }
    const std::string writer = store::decode_record(entry.value).writer;
    for (auto& [id, p] : m_processes) {
        if (p->writer() == writer && m_kill_after_write.erase(id) == 1) {
            p->kill();
        }
    }
}

void config_world::reported(std::uint64_t ticket, config::patch_result result) {
    submission& s = m_submissions.at(ticket);
    if (m_mutation == "unknown_as_refused" &&
        result.status == config::patch_status::outcome_unknown) {
        result.status = config::patch_status::store_unavailable;
    }
    if (m_mutation == "unknown_as_accepted" &&
        result.status == config::patch_status::outcome_unknown) {
        result.status = config::patch_status::accepted;
    }
    s.status = config::to_string(result.status);
    s.result = result;
    m_accepted += result.status == config::patch_status::accepted ? 1 : 0;
    if (!s.request.dry_run) {
        m_checker.on_result(s.request, result);
    }
}

config::patch config_world::make_patch(const step& s, const config_process& at) const {
    config::patch p;
    p.id = s.args.text("id");
    p.author = s.args.text("author", "ana");
    p.version = s.args.has("version") ? static_cast<std::uint64_t>(s.args.number("version"))
                                      : at.view().version();
    p.undo_of = static_cast<std::uint64_t>(s.args.number("undo", 0));
    p.dry_run = s.args.flag("dry_run", false);
    if (p.undo_of == 0) {
        p.changes = {{config::change_kind::set, s.args.text("path", "limits/max_tasks_per_job"),
                      s.args.text("value", "5")}};
    }
    return p;
}

void config_world::submit(const step& s) {
    config_process& at = process(s.args.text("process"));
    if (!at.running() || !at.is_config()) {
        return;
    }
    submission entry{make_patch(s, at), "open", {}};
    const std::uint64_t ticket = ++m_last_ticket;
    m_ticket_of_id[entry.request.id] = ticket;
    if (!entry.request.dry_run) {
        m_checker.on_submitted(entry.request);
    }
    const config::patch p = entry.request;
    m_submissions.emplace(ticket, std::move(entry));
    at.submit(ticket, p);
}

// Steps.

void config_world::act(const step& s) {
    if (s.verb == "submit") {
        submit(s);
    } else if (s.verb == "cut") {
        set_cut(s.args.text("region"), true);
    } else if (s.verb == "heal") {
        set_cut(s.args.text("region"), false);
    } else if (s.args.has("process")) {
        act_on_process(s);
    } else {
        act_on_store(s);
    }
    check();
}

void config_world::act_on_process(const step& s) {
    config_process& p = process(s.args.text("process"));
    if (s.verb == "kill") {
        p.kill();
    } else if (s.verb == "kill_after_write") {
        m_kill_after_write.insert(p.id());
    } else if (s.verb == "start") {
        if (!p.alive()) {
            m_checker.forget(p.id());
        }
        p.start();
    } else if (s.verb == "pause") {
        p.pause();
    } else if (s.verb == "resume") {
        p.resume();
    } else if (s.verb == "path") {
        p.store_faults.lose_answers = s.args.flag("lose_answers", false);
        p.store_faults.delay = s.args.time("delay", common::duration{0});
    } else if (s.verb == "lose_version") {
        p.lose_version();
    } else if (s.verb == "tell_old") {
        // A stale peer sends its old state as version 1.
        const auto old = process(s.args.text("source")).view().since(0);
        p.apply_records({{1, old.empty() ? "" : old.front().body}});
    } else {
        throw script_error("unknown action '" + s.verb + "' on a process");
    }
}

void config_world::act_on_store(const step& s) {
    if (s.verb != "store") {
        throw script_error("unknown action '" + s.verb + "'");
    }
    m_kv.faults.down = s.args.flag("down", false);
    m_kv.faults.lose_answers = s.args.flag("lose_answers", false);
    m_kv.faults.delay = s.args.time("delay", common::duration{0});
}

void config_world::set_cut(const std::string& region, bool cut) {
    if (cut) {
        m_cut_regions.insert(region);
    } else {
        m_cut_regions.erase(region);
    }
    for (auto& [id, p] : m_processes) {
        if (p->region() == region) {
            p->store_faults.down = cut;
        }
    }
}

void config_world::heal_all() {
    m_kv.faults = {};
    m_cut_regions.clear();
    m_kill_after_write.clear();
    for (auto& [id, p] : m_processes) {
        p->store_faults = {};
        if (!p->alive()) {
            m_checker.forget(id);
            p->start();
        } else if (!p->running()) {
            p->resume();
        }
    }
}

void config_world::expect(const step& s) {
    if (s.verb == "answer") {
        expect_result(s);
    } else if (s.verb == "version") {
        const auto version = process(s.args.text("process")).view().version();
        if (version != static_cast<std::uint64_t>(s.args.number("is"))) {
            throw violation(s.args.text("process") + " has version " + std::to_string(version));
        }
    } else if (s.verb == "newest") {
        if (m_checker.newest() != static_cast<std::uint64_t>(s.args.number("is"))) {
            throw violation("newest version is " + std::to_string(m_checker.newest()));
        }
    } else if (s.verb == "converged") {
        expect_converged();
    } else {
        throw script_error("unknown expectation '" + s.verb + "'");
    }
}

void config_world::expect_result(const step& s) {
    const std::string id = s.args.text("id");
    const auto position = m_ticket_of_id.find(id);
    if (position == m_ticket_of_id.end()) {
        throw script_error("patch '" + id + "' was not submitted");
    }
    const submission& found = m_submissions.at(position->second);
    if (found.status != s.args.text("status")) {
        throw violation("patch " + id + " has the status " + found.status);
    }
    if (s.args.has("version") &&
        found.result.version != static_cast<std::uint64_t>(s.args.number("version"))) {
        throw violation("patch " + id + " was reported as version " +
                        std::to_string(found.result.version));
    }
    if (s.args.has("fields") && found.result.fields != s.args.list("fields")) {
        throw violation("patch " + id + " was reported with other conflicting fields");
    }
}

void config_world::expect_converged() {
    for (const auto& [id, p] : m_processes) {
        if (p->running() && p->view().version() != m_checker.newest()) {
            throw violation(id + " has version " + std::to_string(p->view().version()) +
                            " instead of " + std::to_string(m_checker.newest()));
        }
    }
}

} // namespace buckthornspar::scenario
