#pragma once

#include "core/common/clock.h"
#include "core/dispatch/dispatch_actions.h"
#include "core/net/endpoint.h"
#include "core/service/node_capability.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::service {

/// Number of jobs by queue of which no task has started.
using pending_counts = std::map<std::string, std::size_t>;

/// Counts as the owner knows them: changes within the age may be missing.
struct pending_report {
    pending_counts counts;
    common::duration age{0};
    /// Memory in bytes that all jobs take at the owner.
    std::int64_t job_memory = 0;
    fleet_size fleet{};
};

/// Request of a node for changes of its jobs; also its heartbeat to the owner.
struct changes_request {
    std::string node;
    net::endpoint address;
    /// Fence of the owner that the node follows.
    std::uint64_t fence = 0;
    /// Position in the owner's change log up to which the node has all changes.
    std::uint64_t after = 0;
    /// Jobs that other nodes accepted and the node was asked about.
    std::vector<std::string> follow;
    /// Memory in bytes that the node has for jobs; 0 for no limit.
    std::int64_t job_limit = 0;
    /// See ownership_candidate; absent when the node does not know its link speed.
    std::optional<node_capability> capability{};
    bool may_claim = false;
};

struct changes_response {
    std::uint64_t next = 0;
    std::vector<dispatch::state_change> changes;
    /// Empty while the owner does not know the counts, for example before it has read all jobs.
    std::optional<pending_report> pending;
    /// Time from the arrival of the request to the response.
    common::duration held{0};
    /// See job_admission; absent while the owner does not know it.
    std::optional<std::int64_t> headroom{};
};

/// Request for the state of a job that another node accepted. The node follows the job from then
/// on.
struct state_request {
    std::string node;
    std::uint64_t fence = 0;
    std::string job;
};

/// Request to poll a worker for the owner. The worker answers at once: poll_order::wait is 0.
struct worker_poll_request {
    net::endpoint worker_address;
    dispatch::poll_order order;
};

/// Request to call the advice service for the owner.
struct relayed_advice_call {
    dispatch::advice_request request;
    /// Expected duration of the call, from which its time limit follows.
    common::duration expected{0};
};

/// JSON formats. The readers throw common::error.
[[nodiscard]] std::string write_changes_request(const changes_request& request);
[[nodiscard]] changes_request read_changes_request(std::string_view text);
[[nodiscard]] std::string write_changes_response(const changes_response& response);
[[nodiscard]] changes_response read_changes_response(std::string_view text);
[[nodiscard]] std::string write_state_request(const state_request& request);
[[nodiscard]] state_request read_state_request(std::string_view text);
[[nodiscard]] std::string write_state_response(const dispatch::known_state& known);
[[nodiscard]] dispatch::known_state read_state_response(std::string_view text);
[[nodiscard]] std::string write_worker_poll_request(const worker_poll_request& request);
[[nodiscard]] worker_poll_request read_worker_poll_request(std::string_view text);
[[nodiscard]] std::string write_advice_call(const relayed_advice_call& call);
[[nodiscard]] relayed_advice_call read_advice_call(std::string_view text);
[[nodiscard]] std::string write_poll_result(const dispatch::poll_result& result);
[[nodiscard]] dispatch::poll_result read_poll_result(std::string_view text);

} // namespace buckthornspar::service
