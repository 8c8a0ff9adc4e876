#pragma once

#include "core/common/rng.h"
#include "core/net/http_server.h"
#include "core/peer/peer_messages.h"
#include "core/server/peer_tracker.h"
#include "shard_directory.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::server {
class cluster_member;
class server_process;
} // namespace buckthornspar::server

namespace buckthornspar::entry {

/// Forwards job submissions, queries and cancellations to the scheduler that owns the job's home
/// shard. All of them are idempotent by the job's id, so they are retried within the deadline while
/// the ownership of a shard changes.
class job_gateway {
public:
    job_gateway(server::server_process& process, server::cluster_member& member,
                shard_directory directory);

    /// Sets the preferred regions of each team, best first. They apply to jobs that name no region.
    void set_region_preferences(std::map<std::string, std::vector<std::string>> preferences);

    /// Handles a request below /v1/jobs. Called on the network thread.
    void handle(const net::http_request& request, net::http_reply reply);

    [[nodiscard]] std::size_t in_progress() const { return m_in_progress; }

private:
    /// A submission that is sent once the search has found the job's shard, or has found that no
    /// shard knows the job.
    struct repeated_submission {
        peer::job_call call;
        std::string home;
    };
    struct exchange;
    using exchange_ptr = std::shared_ptr<exchange>;

    void submit(const net::http_request& request, net::http_reply reply);
    void start(peer::job_call call, std::string shard, net::http_reply reply,
               std::optional<repeated_submission> repeated = std::nullopt);
    void submit_repeated(const exchange_ptr& e, const std::string& shard);
    [[nodiscard]] std::vector<std::string> preferred_regions(const std::string& team) const;
    [[nodiscard]] std::optional<server::peer_status> choose_scheduler(const exchange& e) const;
    void attempt(const exchange_ptr& e);
    void on_reply(const exchange_ptr& e, const peer::job_reply& reply);
    void retry(const exchange_ptr& e, std::string_view reason);
    void search_next_shard(const exchange_ptr& e);
    void finish(const exchange_ptr& e, net::http_response response);
    void give_up(const exchange_ptr& e);

    server::server_process& m_process;
    server::cluster_member& m_member;
    shard_directory m_directory;
    // Used on the network thread only.
    common::rng m_jitter;
    std::map<std::string, std::vector<std::string>> m_region_preferences;
    std::atomic<std::size_t> m_in_progress{0};
};

} // namespace buckthornspar::entry
