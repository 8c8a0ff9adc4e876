#include "config_application.h"

#include "config_responses.h"
#include "config_service_thread.h"
#include "core/common/counters.h"
#include "core/common/settings.h"
#include "core/config/config_view.h"
#include "core/config/configuration_error.h"
#include "core/server/cluster_member.h"
#include "core/server/platform_adapters.h"
#include "core/server/server_process.h"

#include <charconv>
#include <limits>
#include <random>
#include <utility>

namespace buckthornspar::config_server {

namespace {

constexpr std::size_t default_listed_versions = 50;
constexpr std::size_t max_listed_versions = 1000;
/// A watch on a dead connection ends after this time plus a sixteenth of it plus the timeout of a
/// store call (2 s). The sum stays below the 4 s within which a version must be in force after a
/// partition has healed. A longer wait would save store calls while nothing changes.
constexpr common::duration watch_wait = std::chrono::milliseconds(1500);

/// Sequence numbers restart with each process start, so the writer id must be unique per start.
std::string make_writer_id(const std::string& process_id) {
    std::random_device random;
    return process_id + '.' + std::to_string(common::wall_clock_ms()) + '.' +
           std::to_string(random());
}

std::optional<std::uint64_t> read_number(std::string_view text) {
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// Returns the fallback if the parameter is absent, and empty if it is not a number up to max.
std::optional<std::uint64_t> read_parameter(const net::http_request& request, std::string_view name,
                                            std::uint64_t fallback, std::uint64_t max) {
    const auto text = request.query(name);
    if (!text) {
        return fallback;
    }
    const auto number = read_number(*text);
    return number && *number <= max ? number : std::nullopt;
}

} // namespace

config_settings read_settings(common::settings_section& settings) {
    using std::chrono::milliseconds;
    auto section = settings.section("config");
    config_settings s;
    s.log_prefix = section.text("log_prefix", "config");
    s.ring_slots = static_cast<std::uint64_t>(section.number("ring_slots", {2, 1024, "slots"}, 64));
    s.patch_timeout = milliseconds(section.number("patch_timeout_ms", {100, 60'000, "ms"}, 5'000));
    s.max_queued_patches =
        static_cast<std::size_t>(section.number("max_queued_patches", {1, 200, "patches"}, 64));
    s.max_history =
        static_cast<std::size_t>(section.number("max_history", {1025, 100'000, "versions"}, 2'000));
    s.watcher_silence =
        milliseconds(section.number("watcher_silence_ms", {100, 60'000, "ms"}, 2'500));
    s.regions = section.list("regions");
    s.scorers = section.list("scorers");
    section.finish();
    return s;
}

config_application::config_application(server::server_process& process, config_settings settings)
    : m_process(process),
      m_settings(std::move(settings)),
      m_config([](std::uint64_t, const config::configuration&) {}),
      m_store(server::make_kv_store(process)),
      m_member(std::make_unique<server::cluster_member>(process, "config",
                                                        server::make_instance_list(process),
                                                        m_config, server::member_hooks{})) {
    config_service_hooks hooks;
    hooks.on_version = [this](const auto& advanced) { announce(advanced); };
    hooks.is_watcher = [this] { return is_watcher(); };
    hooks.known_version = [this] { return m_config.version(); };
    m_service_thread = std::make_unique<config_service_thread>(
        service_options(), *m_store, process.clock(), process.counters(), std::move(hooks));
    m_member->start();
    m_service_thread->start();
}

config_application::~config_application() {
    // The service thread sends through the member, so it must stop first.
    m_service_thread.reset();
    m_member->stop();
}

config::config_service_options config_application::service_options() const {
    config::config_service_options o;
    o.log.prefix = m_settings.log_prefix;
    o.log.writer = make_writer_id(m_process.settings().id);
    o.log.slots = m_settings.ring_slots;
    o.log.watch_wait = watch_wait;
    o.log.seed = std::hash<std::string>{}(o.log.writer);
    o.rules.regions = m_settings.regions;
    if (!m_settings.scorers.empty()) {
        o.rules.scorers = m_settings.scorers;
    }
    o.patch_timeout = m_settings.patch_timeout;
    o.max_queued_patches = m_settings.max_queued_patches;
    o.max_history = m_settings.max_history;
    return o;
}

bool config_application::is_watcher() const {
    std::vector<config::watcher_candidate> others;
    for (const auto& peer : m_member->tracker().peers()) {
        if (peer.role == membership::instance_role::config &&
            peer.region == m_process.settings().region) {
            others.push_back({peer.id, m_member->tracker().has_recent_heartbeat(
                                           peer.id, m_settings.watcher_silence)});
        }
    }
    return config::is_region_watcher(m_process.settings().id, others);
}

void config_application::announce(const config::version_advanced& advanced) {
    const std::vector<peer::config_record> records{{advanced.version, advanced.record}};
    m_config.apply(records);
    for (const auto& peer : m_member->tracker().peers()) {
        const bool needs_it = peer.last_heartbeat.from.config_version < advanced.version;
        if (peer.region == m_process.settings().region && needs_it) {
            m_process.counters().get("config_announcements_total").add();
            m_member->node().announce_config(peer.address, m_member->self(), records,
                                             [](std::optional<std::uint64_t>) {});
        }
    }
}

net::http_response config_application::refuse(unsigned status, std::string_view reason,
                                              std::string_view detail) {
    m_process.counters().get("refusals_total", "reason", reason).add();
    return net::error_response(status, reason, detail);
}

void config_application::handle(net::http_request request, net::http_reply reply) {
    const auto segments = net::path_segments(request.path());
    const bool is_config = segments.size() >= 3 && segments[0] == "v1" && segments[1] == "config";
    const std::string resource = is_config ? segments[2] : "";
    const bool known = (segments.size() == 3 && (resource == "patches" || resource == "versions" ||
                                                 resource == "in-force")) ||
                       (segments.size() == 4 && resource == "versions");
    if (!known) {
        reply(refuse(404, "not_found", "no such resource"));
        return;
    }
    const auto allowed = resource == "patches" ? net::http_method::post : net::http_method::get;
    if (request.method != allowed) {
        reply(refuse(405, "method_not_allowed", "use POST for patches and GET for the rest"));
        return;
    }
    if (resource == "patches") {
        handle_patch(request, reply);
    } else if (resource == "in-force") {
        const auto snapshot = m_config.in_force();
        reply(in_force_response(snapshot.version, snapshot.in_force));
    } else if (segments.size() == 4) {
        handle_version(segments[3], reply);
    } else {
        handle_versions(request, reply);
    }
}

void config_application::handle_patch(const net::http_request& request,
                                      const net::http_reply& reply) {
    if (m_draining) {
        reply(refuse(503, "draining", "the process is draining; nothing was changed"));
        return;
    }
    const auto dry_run = request.query("dry_run");
    if (dry_run && *dry_run != "true" && *dry_run != "false") {
        reply(net::error_response(400, "unknown_value", "must be true or false", "dry_run"));
        return;
    }
    try {
        config::patch p = config::read_patch(request.body);
        p.dry_run = p.dry_run || dry_run == "true";
        const bool submitted = m_service_thread->submit(
            std::move(p), [reply](const auto& result) { reply(patch_response(result)); });
        if (!submitted) {
            reply(refuse(503, "queue_full", "too many pending calls; nothing was changed"));
        }
    } catch (const config::configuration_error& e) {
        reply(net::error_response(400, e.type(), e.what(), e.field()));
    }
}

void config_application::handle_versions(const net::http_request& request,
                                         const net::http_reply& reply) {
    constexpr auto max_version = std::numeric_limits<std::uint64_t>::max();
    const auto before = read_parameter(request, "before", max_version, max_version);
    const auto limit =
        read_parameter(request, "limit", default_listed_versions, max_listed_versions);
    if (!before || !limit) {
        reply(net::error_response(400, "out_of_range", "must be a number, for limit at most 1000",
                                  before ? "limit" : "before"));
        return;
    }
    read_history([before = *before, limit = static_cast<std::size_t>(*limit)](
                     const auto& history) { return versions_response(history, before, limit); },
                 reply);
}

void config_application::handle_version(const std::string& text, const net::http_reply& reply) {
    const auto version = read_number(text);
    if (!version || *version == 0) {
        reply(
            net::error_response(400, "out_of_range", "must be a number greater than 0", "version"));
        return;
    }
    read_history(
        [version = *version](const auto& history) { return version_response(history, version); },
        reply);
}

void config_application::read_history(
    std::function<net::http_response(const config::config_history&)> make_response,
    const net::http_reply& reply) {
    const auto read = [this, make_response = std::move(make_response),
                       reply](const config::config_history& history) {
        // If the newest versions are missing here, an existing version could be reported as
        // unknown.
        if (history.version() < m_config.version()) {
            reply(refuse(503, "store_unavailable",
                         "the history is currently not available from the store"));
            return;
        }
        reply(make_response(history));
    };
    if (!m_service_thread->read_history(read)) {
        reply(refuse(503, "queue_full", "too many pending calls"));
    }
}

std::optional<std::string> config_application::not_ready_reason() const {
    if (m_draining) {
        return "draining";
    }
    if (m_config.version() == 0) {
        return "no configuration version is known yet";
    }
    return std::nullopt;
}

void config_application::begin_drain() {
    m_draining = true;
    m_member->set_draining();
}

bool config_application::drained() const {
    return m_service_thread->open_calls() == 0;
}

} // namespace buckthornspar::config_server
