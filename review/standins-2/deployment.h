#pragma once

#include "http.h"
#include "record.h"
#include "runner.h"
#include "store.h"

#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A queue of the operator's configuration.
struct queue {
    std::string name;
    std::string prefix;
    std::int64_t max_attempts = 3;
    /// 0 is the most urgent.
    std::int64_t priority = 1;
};

/// A node of the system: a process of its own with the settings of the deploy file's template.
struct node {
    std::string id;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
    pid_t process = 0;
};

/// A small deployment on loopback addresses: the system's nodes as processes, and stand-ins of the
/// store and the runners in this one.
class deployment {
public:
    /// The folder is for settings and logs.
    deployment(asio::io_context& context, const std::string& record_path, std::string folder);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    /// Ends all processes.
    ~deployment();

    void add_queue(const queue& added) { m_queues.push_back(added); }
    void add_runners(std::size_t count);
    /// Writes the configuration and starts the nodes; false if they do not get ready.
    awaitable<bool> start(std::size_t nodes);

    record& log() { return m_record; }
    std::vector<std::unique_ptr<runner>>& runners() { return m_runners; }
    std::vector<node>& nodes() { return m_nodes; }
    /// The runner that runs the task; null if there is none.
    runner* runner_of(const std::string& task);
    /// The node that holds the owner's key; null if there is none.
    node* owner();
    /// The call of a client, which waits for this time at most.
    awaitable<answer> send(const node& target, http::verb method, const std::string& path,
                           std::string body, std::int64_t limit_ms);

private:
    void write_configuration();
    void start_process(node& added);
    [[nodiscard]] std::string settings_of(const node& added) const;

    asio::io_context& m_context;
    std::string m_folder;
    record m_record;
    store m_store;
    gang_board m_gangs;
    server m_advice;
    std::vector<queue> m_queues;
    std::vector<std::unique_ptr<runner>> m_runners;
    std::vector<node> m_nodes;
};

/// Runs the scenario on a deployment of its own and returns its exit code: 0 if the rule held, 1
/// if it was broken, 2 if the case could not run. Arguments: file of the record, folder for
/// settings and logs, and 0 for no disruption.
int run_scenario(int argc, char** argv,
                 const std::function<awaitable<int>(deployment&, bool trouble)>& scenario);

} // namespace review
