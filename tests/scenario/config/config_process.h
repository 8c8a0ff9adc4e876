#pragma once

#include "core/config/config_service.h"
#include "core/config/config_view.h"
#include "fakes/fake_kv_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::scenario {

/// Environment of a simulated process.
struct config_environment {
    common::event_queue& events;
    fakes::fake_kv_store& kv;
    /// Sends records to the processes of the region.
    std::function<void(const std::string& from, const std::vector<config::version_record>&)>
        announce;
    std::function<void(const std::string& process, std::uint64_t ticket,
                       const config::patch_result&)>
        reported;
    std::uint64_t slots = 8;
};

/// Simulates the configuration handling of one process; a config process also runs a config
/// service. The process can be paused, killed and restarted.
class config_process {
public:
    config_process(std::string id, std::string region, bool is_config,
                   config_environment environment);

    void start();
    void kill();
    void pause() { m_paused = true; }
    void resume();

    /// Runs the event in this process; deferred while the process is paused, and dropped if it is
    /// killed.
    void deliver(std::function<void()> event);

    void submit(std::uint64_t ticket, const config::patch& p);
    void apply_records(const std::vector<config::version_record>& records);
    void heard(const std::string& peer) { m_last_heard[peer] = m_environment.events.now(); }
    /// Applies the watcher election to the config processes of the same region.
    void update_watcher(const std::vector<std::string>& region_configs);
    /// Discards the version without a restart, to verify that the checks detect it.
    void lose_version() { m_view = config::config_view(); }

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] const std::string& region() const { return m_region; }
    [[nodiscard]] bool is_config() const { return m_is_config; }
    [[nodiscard]] bool alive() const { return m_alive; }
    [[nodiscard]] bool running() const { return m_alive && !m_paused; }
    [[nodiscard]] const config::config_view& view() const { return m_view; }
    [[nodiscard]] std::string writer() const { return m_id + "." + std::to_string(m_incarnation); }

    /// Faults of the connection to the store.
    fakes::kv_faults store_faults;

private:
    void pump();
    void schedule_wakeup();
    [[nodiscard]] config::config_service_options options() const;

    std::string m_id;
    std::string m_region;
    bool m_is_config;
    config_environment m_environment;
    common::counters m_counters;
    std::unique_ptr<config::config_service> m_service;
    config::config_view m_view;
    std::map<std::string, common::time_point> m_last_heard;
    std::vector<std::function<void()>> m_deferred_events;
    std::uint64_t m_incarnation = 0;
    bool m_alive = false;
    bool m_paused = false;
    bool m_watching = false;
    common::time_point m_wakeup_at{};
};

} // namespace buckthornspar::scenario
