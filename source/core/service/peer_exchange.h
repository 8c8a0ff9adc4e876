#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/dispatch/worker_link.h"
#include "core/net/event_loop.h"
#include "core/net/http_client.h"
#include "core/net/http_server.h"
#include "core/service/job_admission.h"
#include "core/service/job_directory.h"
#include "core/service/owner_election.h"
#include "core/service/peer_messages.h"
#include "core/service/store_relay.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::service {

/// Communication between the owner and the other nodes. The nodes poll the owner for changes of the
/// jobs that they accepted, which also serves as their heartbeat. The owner has them call the
/// advice service.
class peer_exchange final : public net::http_handler {
public:
    struct environment {
        net::event_loop& loop;
        net::http_client& client;
        const common::clock& clock;
        common::counters& counters;
        job_directory& directory;
        dispatch::advice_source& advice;
        dispatch::worker_link& workers;
        store_relay& relay;
        std::string node;
        net::endpoint address;
        /// Owner only: a node has polled, or has stopped polling.
        std::function<void(const std::string& node, const net::endpoint& address)> on_peer_seen;
        std::function<void(const std::string&)> on_peer_lost;
        /// Owner only: see changes_response::pending.
        std::function<std::optional<pending_report>()> pending;
        /// The followed node reports that it is not the owner, or its process has certainly ended.
        std::function<void(const owner_record&, bool ended)> on_owner_suspected;
        job_admission* admission = nullptr;
        /// See changes_request::capability.
        std::optional<node_capability> capability{};
        std::function<bool()> may_claim{};
        /// The owner has told the size of the fleet.
        std::function<void(const fleet_size&)> on_fleet{};
        /// The followed owner, with this fence, has answered.
        std::function<void(std::uint64_t fence)> on_owner_alive{};
    };

    explicit peer_exchange(environment env) : m_env(std::move(env)) {}

    /// Serves the requests of other nodes and the metrics.
    void handle(net::http_request request, net::http_reply reply) override;

    /// Sets the fence with which this node owns the service; empty when it is not the owner.
    void set_owned_fence(std::optional<std::uint64_t> fence);
    /// Sets the owner to poll; empty when there is none or when it is this node.
    void set_followed_owner(const std::optional<owner_record>& owner);
    /// Asks the owner for the state of a job that another node accepted, and for further changes.
    /// Empty when the owner does not know the job or does not respond.
    void ask_state(const std::string& job,
                   std::function<void(std::optional<dispatch::known_state>)> complete);
    /// Another node that can relay store calls; empty when none has been in contact recently.
    [[nodiscard]] std::optional<net::endpoint> relay_peer() const;
    /// The job directory has changed: answers the pending polls after a short delay.
    void notify_peers();
    /// The memory in bytes that jobs may take on the smallest of the live nodes; 0 for no limit.
    [[nodiscard]] std::int64_t smallest_job_limit() const;
    /// Owner only: what each node may still accept, from the memory that the jobs take.
    [[nodiscard]] std::int64_t headroom(std::int64_t job_memory) const;
    /// Owner only: the live nodes.
    [[nodiscard]] std::vector<ownership_candidate> candidates() const;
    /// Removes nodes that have stopped polling. Called periodically.
    void expire_peers(common::time_point now);

    void ask_advice(const std::string& node, const dispatch::advice_request& request,
                    common::duration expected,
                    std::function<void(dispatch::advice_result)> complete);

    /// Has another node poll the worker; completes exactly once. Each call takes the next node.
    void poll_worker(const net::endpoint& worker, const dispatch::poll_order& order,
                     std::function<void(dispatch::poll_result)> complete);

private:
    struct live_peer {
        net::endpoint address;
        common::time_point last_request;
        std::int64_t job_limit = 0;
        std::optional<node_capability> capability{};
        bool may_claim = false;
    };
    struct pending_poll {
        std::string node;
        std::uint64_t after = 0;
        net::http_reply reply;
        common::time_point received;
        common::time_point expires;
    };

    void serve_changes(const net::http_request& request, net::http_reply reply);
    void serve_advice(const net::http_request& request, net::http_reply reply);
    void serve_state(const net::http_request& request, const net::http_reply& reply);
    void serve_worker_poll(const net::http_request& request, net::http_reply reply);
    [[nodiscard]] net::http_response make_response(const pending_poll& poll) const;
    /// Answers the polls that have expired and, if with_changes is set, those with new changes.
    void answer_polls(bool with_changes);
    [[nodiscard]] std::int64_t job_limit() const;
    [[nodiscard]] changes_request make_request(std::uint64_t fence,
                                               const std::vector<std::string>& follow) const;
    void poll();
    void poll_later();
    void on_changes(std::uint64_t fence, const std::vector<std::string>& follow,
                    common::time_point sent_at, const net::http_result& answer);
    void report_suspected_owner(common::time_point sent_at, const net::http_result& answer);

    environment m_env;
    std::optional<std::uint64_t> m_owned_fence;
    std::map<std::string, live_peer> m_peers;
    std::vector<pending_poll> m_polls;
    /// The node that polled a worker last.
    std::string m_last_polling_peer;
    bool m_notify_pending = false;

    std::optional<owner_record> m_owner;
    std::uint64_t m_position = 0;
    /// Jobs of other nodes whose changes this node has asked for, and those of them that the
    /// current owner has not been told of.
    std::set<std::string> m_followed_jobs;
    std::set<std::string> m_follow_requests;
    common::time_point m_last_owner_answer;
    bool m_polling = false;
};

} // namespace buckthornspar::service
