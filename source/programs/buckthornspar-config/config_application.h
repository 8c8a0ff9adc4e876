#pragma once

#include "core/config/config_service.h"
#include "core/server/server_application.h"
#include "core/server/shared_config.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::common {
class settings_section;
}
namespace buckthornspar::server {
class cluster_member;
class server_process;
} // namespace buckthornspar::server

namespace buckthornspar::config_server {

class config_service_thread;

/// Settings of the config process in addition to the shared ones.
struct config_settings {
    std::string log_prefix;
    std::uint64_t ring_slots = 0;
    common::duration patch_timeout{};
    std::size_t max_queued_patches = 0;
    std::size_t max_history = 0;
    /// A config process whose last heartbeat is older than this is not eligible as the watcher of
    /// its region.
    common::duration watcher_silence{};
    /// Names that patches may use; an empty list allows every name.
    std::vector<std::string> regions;
    std::vector<std::string> scorers;
};
[[nodiscard]] config_settings read_settings(common::settings_section& settings);

/// Provides the HTTP interface for operators and distributes versions to peers.
class config_application final : public server::server_application {
public:
    config_application(server::server_process& process, config_settings settings);
    ~config_application() override;

    void handle(net::http_request request, net::http_reply reply) override;
    [[nodiscard]] std::optional<std::string> not_ready_reason() const override;
    void begin_drain() override;
    [[nodiscard]] bool drained() const override;

private:
    void handle_patch(const net::http_request& request, const net::http_reply& reply);
    void handle_versions(const net::http_request& request, const net::http_reply& reply);
    void handle_version(const std::string& text, const net::http_reply& reply);
    void
    read_history(std::function<net::http_response(const config::config_history&)> make_response,
                 const net::http_reply& reply);
    void announce(const config::version_advanced& advanced);
    [[nodiscard]] bool is_watcher() const;
    [[nodiscard]] config::config_service_options service_options() const;
    [[nodiscard]] net::http_response refuse(unsigned status, std::string_view reason,
                                            std::string_view detail);

    server::server_process& m_process;
    config_settings m_settings;
    server::shared_config m_config;
    std::unique_ptr<store::kv_store> m_store;
    std::unique_ptr<server::cluster_member> m_member;
    std::unique_ptr<config_service_thread> m_service_thread;
    std::atomic<bool> m_draining{false};
};

} // namespace buckthornspar::config_server
