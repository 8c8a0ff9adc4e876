#include "scenario/config/config_process.h"

#include <utility>

namespace buckthornspar::scenario {

namespace {

/// A config process whose last heartbeat is older is not considered live in the watcher election.
constexpr common::duration silence_limit = std::chrono::milliseconds(1500);

} // namespace

config_process::config_process(std::string id, std::string region, bool is_config,
                               config_environment environment)
    : m_id(std::move(id)),
      m_region(std::move(region)),
      m_is_config(is_config),
      m_environment(std::move(environment)) {}

config::config_service_options config_process::options() const {
    config::config_service_options o;
    o.log.prefix = "config";
    o.log.writer = writer();
    o.log.slots = m_environment.slots;
    o.log.seed = std::hash<std::string>{}(writer());
    o.max_queued_patches = 8;
    o.max_history = 100;
    return o;
}

void config_process::start() {
    if (m_alive) {
        return;
    }
    ++m_incarnation;
    m_alive = true;
    m_paused = false;
    m_watching = false;
    m_view = config::config_view();
    m_last_heard.clear();
    if (m_is_config) {
        m_service = std::make_unique<config::config_service>(options(), m_counters);
        m_service->start(m_environment.events.now());
        pump();
    }
}

void config_process::kill() {
    m_alive = false;
    m_paused = false;
    m_deferred_events.clear();
}

void config_process::resume() {
    m_paused = false;
    for (auto& event : std::exchange(m_deferred_events, {})) {
        event();
    }
}

void config_process::deliver(std::function<void()> event) {
    if (!m_alive) {
        return;
    }
    if (m_paused) {
        m_deferred_events.push_back(std::move(event));
        return;
    }
    event();
}

void config_process::submit(std::uint64_t ticket, const config::patch& p) {
    m_service->submit(m_environment.events.now(), ticket, p, 1);
    pump();
}

void config_process::apply_records(const std::vector<config::version_record>& records) {
    (void)m_view.apply(records);
}

void config_process::update_watcher(const std::vector<std::string>& region_configs) {
    std::vector<config::watcher_candidate> others;
    for (const auto& id : region_configs) {
        if (id != m_id) {
            const auto position = m_last_heard.find(id);
            const bool alive = position != m_last_heard.end() &&
                               m_environment.events.now() - position->second <= silence_limit;
            others.push_back({id, alive});
        }
    }
    const bool watch = config::is_region_watcher(m_id, others);
    if (watch != m_watching) {
        m_watching = watch;
        m_service->set_watching(m_environment.events.now(), watch);
        pump();
    }
}

void config_process::pump() {
    for (auto& action : m_service->take_actions()) {
        if (auto* const call = std::get_if<store::store_call>(&action)) {
            const auto respond = [this, id = call->id,
                                  incarnation = m_incarnation](const store::kv_response& response) {
                deliver([this, id, incarnation, response] {
                    if (incarnation == m_incarnation) {
                        m_service->on_response(m_environment.events.now(), id, response);
                        pump();
                    }
                });
            };
            m_environment.kv.submit(store_faults, call->request, respond);
        } else if (auto* const result = std::get_if<config::patch_result>(&action)) {
            m_environment.reported(m_id, result->ticket, *result);
        } else if (auto* const advanced = std::get_if<config::version_advanced>(&action)) {
            const std::vector<config::version_record> records{
                {advanced->version, advanced->record}};
            (void)m_view.apply(records);
            m_environment.announce(m_id, records);
        }
    }
    schedule_wakeup();
}

void config_process::schedule_wakeup() {
    const auto wakeup = m_service->next_wakeup();
    const auto now = m_environment.events.now();
    if (!wakeup || (m_wakeup_at > now && m_wakeup_at <= *wakeup)) {
        return;
    }
    m_wakeup_at = std::max(*wakeup, now + common::duration(1));
    m_environment.events.after(m_wakeup_at - now, [this, incarnation = m_incarnation] {
        deliver([this, incarnation] {
            if (incarnation == m_incarnation) {
                m_service->on_time(m_environment.events.now());
                pump();
            }
        });
    });
}

} // namespace buckthornspar::scenario
