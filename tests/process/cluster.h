#pragma once

#include "process/child_process.h"
#include "process/http_caller.h"
#include "process/port_reservation.h"
#include "process/temporary_directory.h"

#include <chrono>
#include <functional>
#include <map>
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
    /// Regions r1, r2, ... with a place and a shard each; members are spread over them in turn.
    int regions = 1;
    /// YAML lines added to the settings of a role, for example {"scheduler", "lease_ms: 3000\n"}.
    std::map<std::string, std::string> extra_settings = {};
};

/// One process of the cluster with its addresses.
struct member {
    std::string id;
    std::string role;
    net::endpoint http;
    /// Address of the peer protocol; servers only.
    net::endpoint peer;
    child_process process;
};

/// A whole cluster of real processes on loopback, with the stand-ins as platform and targets. The
/// constructor returns when every server is ready; the destructor kills what still runs.
class cluster {
public:
    explicit cluster(cluster_options options);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    /// Members are named by role and number from 1: "worker-1", "entry-2", "store", "list".
    [[nodiscard]] member& at(const std::string& id);
    [[nodiscard]] std::vector<member*> of_role(const std::string& role);
    [[nodiscard]] http_caller& http() { return m_http; }

    /// Starts a server again with its old settings.
    void restart(const std::string& id);
    void set_faults(const std::string& id, const std::string& json);
    /// Shows a target as leaving in the instance list.
    void show_leaving(const std::string& id);

    /// Logs of all servers, for the message of a failed check.
    [[nodiscard]] std::string logs() const;
    [[nodiscard]] std::string log_path(const std::string& id) const;

private:
    void start_standin(const std::string& role, const std::string& id,
                       std::vector<std::string> arguments);
    void start_server(const std::string& role, const std::string& id);
    void publish_instances();
    void wait_ready();
    void wait_ready(member& server);

    cluster_options m_options;
    port_reservation m_ports;
    temporary_directory m_directory;
    http_caller m_http;
    std::map<std::string, member> m_members;
};

/// Polls the condition until it holds. Answers false after the timeout.
[[nodiscard]] bool wait_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout);

} // namespace buckthornspar::process_test
