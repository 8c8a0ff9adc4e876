#pragma once

#include "core/common/error.h"
#include "core/common/rng.h"
#include "core/net/event_loop.h"
#include "core/net/http_client.h"
#include "process/child_process.h"
#include "process/port_reservation.h"
#include "soak/advice_service.h"
#include "soak/customer_check.h"
#include "soak/job_clients.h"
#include "soak/leased_worker.h"
#include "soak/link_board.h"
#include "soak/lossy_calls.h"
#include "soak/lost_check.h"
#include "soak/peer_gate.h"
#include "soak/platform_store.h"
#include "soak/soak_log.h"
#include "soak/twice_check.h"

#include <boost/json.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::soak {

struct cluster_options {
    /// Path of the node's program, or its name in the build's bin directory.
    std::string program;
    std::string record;
    std::size_t nodes = 6;
    std::size_t workers = 16;
    std::size_t clients = 3;
    /// With 0 the configuration has no customers, and calls carry no keys.
    std::size_t customers = 0;
    std::uint64_t seed = 1;
};

/// Thrown when the processes do not start.
class cluster_error : public common::error {
public:
    using error::error;
    [[nodiscard]] std::string_view type() const noexcept override { return "cluster_error"; }
};

/// Real processes of the node with stand-ins of the store, the workers and the clients in this
/// process. The stand-ins run on the thread of one loop; the processes belong to the thread that
/// created the cluster.
class soak_cluster {
public:
    soak_cluster(cluster_options options, soak_log& log);
    ~soak_cluster();
    soak_cluster(const soak_cluster&) = delete;
    soak_cluster& operator=(const soak_cluster&) = delete;

    /// Starts the processes and waits until all are ready and one is the owner. Throws
    /// cluster_error.
    void start();
    void start_clients();
    void stop_clients();
    /// The faults and the submissions have ended: watches for jobs that wait after 14 s of calm,
    /// until all jobs have ended or for 6 s, if not stopped before.
    void watch_calm(const std::atomic<bool>& is_stopped);

    /// Runs the function on the loop's thread and waits for its end.
    void on_loop(const std::function<void()>& function);

    [[nodiscard]] std::optional<std::string> owner();
    [[nodiscard]] std::vector<std::string> node_ids() const;
    [[nodiscard]] bool is_running(const std::string& node);
    void signal_node(const std::string& node, int signal);
    void kill_node(const std::string& node);
    void start_node(const std::string& node);
    /// Longest time by which the loop has been late, in milliseconds.
    [[nodiscard]] std::int64_t max_loop_delay_ms() const { return m_max_delay_ms; }

    // The following are used on the loop's thread only.
    [[nodiscard]] platform_store& store() { return m_store; }
    [[nodiscard]] link_board& links() { return m_links; }
    [[nodiscard]] lossy_calls& store_calls() { return m_store_calls; }
    [[nodiscard]] lossy_calls& worker_calls() { return m_worker_calls; }
    [[nodiscard]] twice_check& check() { return m_check; }
    [[nodiscard]] lost_check& lost() { return m_lost; }
    [[nodiscard]] customer_check& customers() { return m_customers; }
    /// Writes a configuration in which a customer has another cap and another key.
    void change_customer(common::rng& random);
    [[nodiscard]] std::size_t accepted_jobs() const;
    [[nodiscard]] const std::vector<std::unique_ptr<leased_worker>>& workers() const {
        return m_workers;
    }
    void crash_worker(leased_worker& worker);
    void restart_worker(leased_worker& worker);
    /// The worker leaves for good, without a report unless it has drained.
    void remove_worker(leased_worker& worker);
    /// A worker with a new id joins.
    void add_worker();

private:
    struct node;
    class store_link;
    class worker_link;

    [[nodiscard]] node& node_of(const std::string& id);
    void add_node(std::size_t number);
    void add_gates(const std::string& from);
    void write_settings(const node& n) const;
    void write_configuration();
    [[nodiscard]] boost::json::array tenants() const;
    void wait_ready();
    void listen(const leased_worker& worker);
    [[nodiscard]] std::uint16_t take_worker_port();
    void release_worker_ports();
    void remove_drained_workers();
    void tick(std::int64_t due_ms);
    void log_new_violations(const std::vector<std::string>& violations, std::size_t& logged);
    [[nodiscard]] std::size_t places_for(const std::string& job) const;
    void add_clients(const workload& work, std::size_t clients);

    cluster_options m_options;
    soak_log& m_log;
    net::event_loop m_loop;
    process_test::port_reservation m_ports;
    link_board m_links;
    platform_store m_store;
    twice_check m_check;
    lost_check m_lost;
    customer_check m_customers;
    std::uint64_t m_configuration_version = 7;
    gang_board m_gangs;
    lossy_calls m_store_calls;
    lossy_calls m_worker_calls;
    peer_addresses m_peer_addresses;
    net::http_client m_gate_client;
    std::vector<std::unique_ptr<leased_worker>> m_workers;
    /// Kept until their entries have ended, and because late calls refer to them.
    std::vector<std::unique_ptr<leased_worker>> m_left_workers;
    std::size_t m_next_worker = 0;
    std::vector<std::uint16_t> m_free_worker_ports;
    std::vector<std::unique_ptr<worker_link>> m_worker_links;
    std::vector<std::unique_ptr<peer_gate>> m_gates;
    std::vector<std::unique_ptr<net::http_server>> m_gate_servers;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::vector<std::unique_ptr<job_clients>> m_job_clients;
    std::size_t m_logged_twice = 0;
    std::size_t m_logged_lost = 0;
    std::size_t m_logged_customers = 0;
    std::optional<std::int64_t> m_watch_from_ms;
    std::int64_t m_max_delay_ms = 0;
};

} // namespace buckthornspar::soak
