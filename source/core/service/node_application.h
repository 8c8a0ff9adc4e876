#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/net/event_loop.h"
#include "core/net/http_client.h"
#include "core/net/http_server.h"
#include "core/service/caller_api.h"
#include "core/service/job_directory.h"
#include "core/service/job_intake.h"
#include "core/service/node_settings.h"
#include "core/service/owner_controller.h"
#include "core/service/owner_election.h"
#include "core/service/owner_placement.h"
#include "core/service/peer_exchange.h"
#include "core/service/platform_adapter.h"
#include "core/service/store_health.h"
#include "core/service/store_relay.h"

#include <future>
#include <memory>
#include <optional>

namespace buckthornspar::service {

/// A node of the service: serves the calls of customers and, while it is the elected owner,
/// schedules the jobs of the whole service. Runs on a single event loop.
class node_application {
public:
    node_application(node_settings settings, net::event_loop& loop, common::clock& clock,
                     common::counters& counters);
    ~node_application();
    node_application(const node_application&) = delete;
    node_application& operator=(const node_application&) = delete;

    /// Starts serving. Must be called on the event loop's thread.
    void start();
    /// Planned stop: stops accepting calls, completes those that have arrived and resigns
    /// the ownership. Must be called on the event loop's thread; the promise is fulfilled when all
    /// changes are recorded.
    void stop(std::promise<void>& done);
    /// Number of calls whose answer has not been written.
    [[nodiscard]] std::size_t requests_in_progress() const;

private:
    class readiness_handler final : public net::http_handler {
    public:
        explicit readiness_handler(node_application& node) : m_node(node) {}
        void handle(net::http_request request, net::http_reply reply) override;

    private:
        node_application& m_node;
    };

    void watch_configuration();
    void on_configuration(const dispatch::store_item& item);
    void read_configuration_through_peer();
    void start_election();
    void on_elected(const owner_record& owner);
    void on_task_failed();
    void on_ownership_lost();
    void on_fleet(const fleet_size& fleet);
    /// Owner only: hands the ownership over at the next quiet moment if a more suitable node has
    /// been alive for some time.
    void check_placement();
    void hand_over(const owner_placement::target& target);
    void log_suitability(std::uint64_t fence);
    [[nodiscard]] bool may_claim() const;
    void on_owner_changed(const std::optional<owner_record>& owner);
    /// Gives up the ownership by removing the owner key through another node that reaches the
    /// store.
    void release_through_peer(const owner_record& owner);
    void log_store_health_change();
    void tick();
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::optional<pending_report> owner_pending() const;
    [[nodiscard]] owner_environment make_owner_environment(std::uint64_t fence);
    [[nodiscard]] peer_exchange::environment make_peer_environment();
    [[nodiscard]] caller_api::environment make_caller_environment();

    node_settings m_settings;
    net::event_loop& m_loop;
    common::clock& m_clock;
    common::counters& m_counters;
    std::uint64_t m_process;
    std::shared_ptr<net::request_guard> m_guard;
    net::http_client m_client;
    std::unique_ptr<platform_adapter> m_platform;
    store_health m_health;
    monitored_store m_store;
    job_directory m_directory;
    store_relay m_relay;
    job_intake m_intake;
    job_admission m_admission;
    peer_exchange m_peers;
    caller_api m_callers;
    readiness_handler m_readiness;
    std::optional<service_configuration> m_configuration;
    std::shared_ptr<prefix_watcher> m_configuration_watcher;
    std::shared_ptr<owner_election> m_election;
    std::shared_ptr<owner_controller> m_controller;
    std::unique_ptr<net::http_server> m_caller_server;
    std::unique_ptr<net::http_server> m_readiness_server;
    std::unique_ptr<net::http_server> m_peer_server;
    owner_placement m_placement;
    fleet_size m_fleet = assumed_fleet;
    bool m_placement_check_pending = false;
    bool m_handing_over = false;
    bool m_store_reachable = false;
    bool m_stopping = false;
};

} // namespace buckthornspar::service
