#pragma once

#include "core/routing/request_engine.h"
#include "scenario/routing/routing_checks.h"
#include "scenario/routing/routing_network.h"
#include "scenario/runner.h"

#include <map>
#include <memory>
#include <string>

namespace buckthornspar::scenario {

/// Entries with the production engine and modelled runners on a simulated network.
///
/// Setup: entries, runners, slots, regions (numbers), policy, deadline, work, twice (every result
/// and peer message is delivered twice), list_period, defect (an injected defect of the system
/// under test, which the checks must detect).
class routing_world final : public world {
public:
    explicit routing_world(const script& s);
    ~routing_world() override;

    void run_until(common::duration since_start) override;
    void act(const step& s) override;
    void expect(const step& s) override;
    void finish() override;

private:
    struct entry_node {
        std::string id;
        std::string region;
        common::counters metrics;
        std::unique_ptr<routing::request_engine> engine;
        bool alive = true;
        common::time_point wake_at = common::time_point::max();
    };

    void add_entry(const std::string& id, const std::string& region);
    void add_runner(const std::string& id, const std::string& region);
    void kill_entry(const std::string& id);
    [[nodiscard]] entry_node& entry(const std::string& id);
    [[nodiscard]] runner_node& runner(const std::string& id);

    void act_on_runner(const step& s);
    void submit(const arguments& args, const std::string& id, const std::string& to);
    void start_load(const arguments& args);
    void schedule_next_load(const arguments& args, common::time_point until);
    void refresh_list();
    [[nodiscard]] membership::instance_snapshot make_list() const;

    /// Executes the actions of the engine and schedules its next wake-up.
    void after_engine_event(entry_node& e);
    void carry_out(entry_node& e, const routing::action& a);
    void send_run(entry_node& e, const routing::run_call& call);
    void send_peer_message(const entry_node& e, const routing::peer_message& message);
    void deliver_answer(routing::caller_answer answer);
    [[nodiscard]] common::duration work_of(const std::string& id) const;
    [[nodiscard]] common::time_point now() const { return m_schedule.now(); }

    /// Calls the engine of a live entry, then executes its actions.
    template <typename Event>
    void with_engine(const std::string& id, const Event& event) {
        const auto position = m_entries.find(id);
        if (position != m_entries.end() && position->second->alive) {
            event(*position->second->engine);
            after_engine_event(*position->second);
        }
    }

    script m_script;
    common::rng m_random;
    event_schedule m_schedule;
    routing_network m_network;
    routing_checks m_checks;
    std::string m_defect;
    bool m_list_available = true;
    std::uint64_t m_next_key = 1;
    std::uint64_t m_next_entry = 1;
    std::map<std::string, std::unique_ptr<entry_node>> m_entries;
    std::map<std::string, std::unique_ptr<runner_node>> m_runners;
    std::map<std::string, common::duration> m_work;
    std::map<std::string, bool> m_idempotent;
    common::time_point m_start;
};

[[nodiscard]] world_factory make_routing_world();

} // namespace buckthornspar::scenario
