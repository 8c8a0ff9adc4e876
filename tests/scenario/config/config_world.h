#pragma once

#include "scenario/config/config_checker.h"
#include "scenario/config/config_process.h"
#include "scenario/runner.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::scenario {

/// Simulates config processes and other processes in several regions that share one store.
///
/// setup: regions, configs and members (per region), slots, duplicates (each message arrives twice,
/// the second time late), heal_at (all faults end at this time, and at the end of the script all
/// processes must have the newest version), mutation (a fault injected into the system itself, to
/// verify that a check detects it). Processes are named c<region>.<n> and m<region>.<n>.
class config_world final : public world {
public:
    explicit config_world(const script& s);

    void run_until(common::duration since_start) override;
    void act(const step& s) override;
    void expect(const step& s) override;
    void finish() override;

    [[nodiscard]] std::size_t accepted() const { return m_accepted; }

private:
    struct submission {
        config::patch request;
        std::string status;
        config::patch_result result;
    };

    void build(const arguments& setup);
    void send_heartbeats();
    void send(const std::string& from, const std::string& to, std::function<void()> event);
    void send_version(config_process& from, config_process& to);
    void pull(config_process& from, config_process& to);
    void announce(const std::string& from, const std::vector<config::version_record>& records);
    void reported(std::uint64_t ticket, config::patch_result result);
    void on_write(const store::kv_entry& entry);
    void check();
    void submit(const step& s);
    [[nodiscard]] config::patch make_patch(const step& s, const config_process& at) const;
    void act_on_process(const step& s);
    void act_on_store(const step& s);
    void set_cut(const std::string& region, bool cut);
    void heal_all();
    [[nodiscard]] bool is_cut(const config_process& a, const config_process& b) const;
    [[nodiscard]] config_process& process(const std::string& id);
    void expect_result(const step& s);
    void expect_converged();

    common::event_queue m_events;
    fakes::fake_kv_store m_kv;
    config_checker m_checker;
    std::map<std::string, std::unique_ptr<config_process>> m_processes;
    std::map<std::string, std::vector<std::string>> m_region_configs;
    std::map<std::uint64_t, submission> m_submissions;
    /// Ticket of the latest submission of each patch id.
    std::map<std::string, std::uint64_t> m_ticket_of_id;
    std::uint64_t m_last_ticket = 0;
    std::set<std::string> m_cut_regions;
    std::set<std::string> m_kill_after_write;
    bool m_duplicates = false;
    bool m_has_heal_time = false;
    std::string m_mutation;
    std::size_t m_accepted = 0;
};

} // namespace buckthornspar::scenario
