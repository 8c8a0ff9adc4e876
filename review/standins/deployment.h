#pragma once

// A small deployment on loopback: the store, the runners, the nodes as separate processes, and a
// client that retries at other nodes.

#include "record.h"
#include "runner.h"
#include "store.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/// One process of target/bin/buckthornspar-node, with settings as deploy/node.yaml gives them.
class node {
public:
    node(std::string id, std::uint16_t store_port, std::string folder, record& out);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    void start();
    /// SIGKILL, and waits for the end of the process.
    void kill();
    void signal(int number);
    /// SIGTERM, and SIGKILL after grace_s, as the platform stops a process.
    void terminate();
    /// Whether the process is still there; reaps it when it has ended.
    [[nodiscard]] bool running();
    [[nodiscard]] bool ready() const;
    /// Resident memory of the process in megabytes; 0 if it has ended.
    [[nodiscard]] std::size_t resident_mb() const;

    [[nodiscard]] const std::string& id() const { return m_id; }
    [[nodiscard]] std::uint16_t callers() const { return m_callers; }

private:
    void write_settings() const;

    std::string m_id;
    std::uint16_t m_store_port;
    std::string m_folder;
    record& m_record;
    std::uint16_t m_callers;
    std::uint16_t m_readiness;
    std::uint16_t m_peers;
    pid_t m_process = 0;
};

struct queue {
    std::string name;
    std::string host;
    std::string prefix;
    unsigned max_attempts = 3;
};

class deployment {
public:
    static constexpr const char* service = "planner";

    /// Records into record.txt of the working directory; temporary files go to a new folder.
    deployment(std::size_t nodes, std::size_t runners);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// The operator writes a configuration; the answer of the store is its acknowledgement.
    void configure(unsigned version, const std::vector<queue>& queues);
    /// Starts all nodes and waits until they are ready and runners can be used; exits with 2 when
    /// that fails.
    void start();

    /// Hands a job in: up to five attempts at different nodes, as the sites' clients make. Returns
    /// the status of the last answer, 0 for none.
    unsigned submit(const queue& to, const std::string& id, const std::string& body);
    /// The state that the nodes tell, or "status N", or "no answer".
    std::string state_of(const queue& at, const std::string& id);
    unsigned cancel(const queue& at, const std::string& id);

    /// The node that wrote the owner's key last; nullptr when there is none.
    node* owner();

    record out;
    store platform;
    run_log log;
    std::vector<std::unique_ptr<runner>> runners;
    std::vector<std::unique_ptr<node>> nodes;

private:
    std::optional<response> ask(http::verb method, const queue& at, const std::string& id,
                                const std::string& body, int timeout_ms);

    std::string m_folder;
    std::size_t m_next_node = 0;
};

/// Whether the case is to disrupt (TROUBLE is not 0).
bool with_trouble();
/// Sixteen hexadecimal digits.
std::string job_id(std::uint64_t number);
[[noreturn]] void cannot_run(deployment& d, const std::string& reason);
/// Ends the case with 1 if the rule was broken and with 0 if it held.
int verdict(deployment& d, bool broken, const std::string& reason);

} // namespace review
