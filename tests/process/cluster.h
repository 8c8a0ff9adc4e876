#pragma once

#include "process/child_process.h"
#include "process/http_caller.h"
#include "process/port_reservation.h"
#include "process/region_links.h"
#include "process/temporary_directory.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::process_test {

struct cluster_options {
    int workers = 4;
    int runners = 2;
    int entries = 2;
    int schedulers = 2;
    int configs = 1;
    int runner_slots = 8;
    /// Regions r1, r2, ... with the place p1, p2, ... and the shard s1, s2, ... each. Number n of a
    /// role is in region 1 + (n - 1) % regions. Each region has an instance list, in which the
    /// processes of other regions have the addresses of relays. The store is in r1.
    int regions = 1;
    int one_way_delay_ms = 20;
    int instance_poll_ms = 200;
    int heartbeat_ms = 200;
    /// YAML lines added to the settings of a role, for example {"scheduler", "lease_ms: 3000\n"}.
    std::map<std::string, std::string> extra_settings = {};
};

/// One process of the cluster with its addresses.
struct member {
    std::string id;
    std::string role;
    std::string region;
    net::endpoint http;
    /// Address of the peer protocol; servers only.
    net::endpoint peer;
    child_process process;
};

/// A cluster of real processes on loopback, with stand-ins for the platform and the targets. The
/// constructor returns when every server is ready; the destructor kills all running processes.
class cluster {
public:
    explicit cluster(cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Member ids consist of role and number from 1: "worker-1", "entry-2", "store", "list"; the
    /// lists of further regions are "list-2" and so on, the stand-in of the links is "link".
    [[nodiscard]] member& at(const std::string& id);
    [[nodiscard]] std::vector<member*> of_role(const std::string& role);
    [[nodiscard]] std::vector<member*> servers_in(const std::string& region);
    [[nodiscard]] http_caller& http() { return m_http; }
    /// Links between the regions; only with more than one region.
    [[nodiscard]] region_links& links() { return *m_links; }

    /// Kills a server if it still runs and starts it again with the same settings.
    void restart(const std::string& id);
    void set_faults(const std::string& id, const std::string& json);
    /// Sets the state of a target to leaving in all instance lists.
    void mark_leaving(const std::string& id);

    /// Logs of all servers, for messages of failed checks.
    [[nodiscard]] std::string logs() const;
    [[nodiscard]] std::string log_path(const std::string& id) const;

private:
    void start_standin(const std::string& role, const std::string& id, const std::string& region,
                       std::vector<std::string> arguments);
    void start_targets();
    void start_server(const std::string& role, const std::string& id, const std::string& region);
    [[nodiscard]] std::string settings_text(const std::string& id, const std::string& region,
                                            const net::endpoint& http, const net::endpoint& peer);
    [[nodiscard]] std::string region_of(int number) const;
    [[nodiscard]] std::string instance_list_id(const std::string& region) const;
    /// Address at which processes of region `from` reach the target in region `to`: the target
    /// itself or a relay.
    [[nodiscard]] net::endpoint address_from(const std::string& from, const std::string& to,
                                             const net::endpoint& target);
    void publish_instances(const std::string& region);
    void wait_ready();
    void wait_ready(member& server);

    cluster_options m_options;
    port_reservation m_ports;
    temporary_directory m_directory;
    http_caller m_http;
    std::unique_ptr<region_links> m_links;
    std::map<std::string, member> m_members;
};

/// Polls the condition until it holds. Returns false after the timeout.
[[nodiscard]] bool wait_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout);

} // namespace buckthornspar::process_test
