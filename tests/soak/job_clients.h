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

struct workload {
    std::string host;
    std::string prefix;
    /// Range of the time that a task works.
    std::int64_t min_work_ms = 3000;
    std::int64_t max_work_ms = 16'000;
    /// Limit of the jobs of one client that have not ended.
    std::size_t max_open_jobs = 40;
};

/// Clients that submit jobs of one task and ask for their states. A client keeps its connection to
/// a node until a call fails there, and repeats a submission with the same id at other nodes. All
/// functions run on the loop's thread.
class job_clients {
public:
    job_clients(net::event_loop& loop, std::vector<net::endpoint> nodes, workload work,
                std::size_t clients, std::uint64_t seed);
    ~job_clients();
    job_clients(const job_clients&) = delete;
    job_clients& operator=(const job_clients&) = delete;

    void start();
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
    void call(client& c, net::http_method method, const std::string& id, const std::string& body,
              const net::http_completion& complete);
    [[nodiscard]] std::string new_job_body(client& c) const;

    net::event_loop& m_loop;
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
