#pragma once

#include "core/common/rng.h"
#include "core/net/endpoint.h"
#include "core/net/http_client.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace buckthornspar::net {
class event_loop;
}

namespace buckthornspar::soak {

class customer_check;
class lost_check;

struct workload {
    std::string host;
    std::string prefix;
    /// Range of the time that a task works.
    std::int64_t min_work_ms = 3000;
    std::int64_t max_work_ms = 16'000;
    /// Limit of the jobs of one client that have not ended.
    std::size_t max_open_jobs = 40;
    /// Range of the tasks of a gang; 0 for jobs of one task.
    std::size_t min_gang = 0;
    std::size_t max_gang = 0;
    double failing_share = 0.1;
    /// Highest number of runs of a failing job that fail.
    std::uint64_t max_failed_runs = 1;
    /// Keeps the ids of two kinds of clients apart.
    std::uint64_t first_id = 0;
};

/// What each task of a soak demands.
constexpr std::int64_t task_cpu = 3000;
constexpr std::int64_t task_memory_mb = 3000;

/// Clients that submit jobs of one task or of one gang and ask for their states. A client keeps its
/// connection to a node until a call fails there, and repeats a submission with the same id at
/// other nodes. All functions run on the loop's thread.
class job_clients {
public:
    job_clients(net::event_loop& loop, lost_check& check, customer_check& customers,
                std::vector<net::endpoint> nodes, workload work, std::size_t clients,
                std::uint64_t seed);
    ~job_clients();
    job_clients(const job_clients&) = delete;
    job_clients& operator=(const job_clients&) = delete;

    void start();
    /// Submits nothing more; the states of open jobs are still asked for.
    void stop() { m_stopped = true; }
    [[nodiscard]] std::size_t accepted() const { return m_accepted; }
    [[nodiscard]] std::size_t ended() const { return m_ended; }

private:
    struct client;
    struct submission;

    void step(client& c);
    void step_later(client& c);
    void submit(client& c, const std::shared_ptr<submission>& job);
    void on_submitted(client& c, const std::shared_ptr<submission>& job, unsigned status);
    void repeat_late(client& c, const std::shared_ptr<submission>& job);
    void ask_state(client& c);
    void on_state(client& c, const std::string& id, const net::http_result& result);
    /// Submits a job with a key that no customer has.
    void call_with_unknown_key(client& c);
    void call(client& c, net::http_method method, const std::string& id, const std::string& body,
              const std::string& key, const net::http_completion& complete);
    /// Empty without customers.
    [[nodiscard]] std::string key_of(const client& c) const;
    [[nodiscard]] std::shared_ptr<submission> new_job(client& c);

    net::event_loop& m_loop;
    lost_check& m_check;
    customer_check& m_customers;
    net::http_client m_http;
    std::vector<net::endpoint> m_nodes;
    workload m_work;
    std::vector<std::unique_ptr<client>> m_clients;
    bool m_stopped = false;
    std::uint64_t m_next_id;
    std::size_t m_accepted = 0;
    std::size_t m_ended = 0;
};

} // namespace buckthornspar::soak
