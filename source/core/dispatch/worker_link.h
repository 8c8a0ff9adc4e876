#pragma once

#include "core/common/clock.h"
#include "core/common/name_table.h"
#include "core/dispatch/job.h"
#include "core/net/connection_wait.h"
#include "core/net/endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::dispatch {

/// A worker's entry in the instance list.
struct worker_report {
    std::string id;
    std::string service;
    net::endpoint address;
    std::string data_centre;
    std::string rack;
    std::set<std::string> labels;
    placement::resources capacity;
    bool draining = false;
    /// Start time of this incarnation of the worker, in Unix milliseconds; 0 when unknown.
    std::int64_t start_time_ms = 0;
    /// The worker's own clock when it wrote the report, in milliseconds; 0 when unknown.
    std::int64_t clock_ms = 0;
};

/// How a run ended.
enum class run_end {
    succeeded,
    failed,  ///< because of an error of the task or of the worker
    stopped, ///< by a stop order
    lapsed,  ///< the lease expired
    broken,  ///< another member of the gang ended
    alone,   ///< the other members of the gang did not start in time
};
inline constexpr common::name_table<run_end, 6> run_end_names{
    "run end", {"succeeded", "failed", "stopped", "lapsed", "broken", "alone"}};

/// One run of a task. Runs of a task are numbered from 1.
struct run_key {
    task_key task;
    std::uint32_t run = 0;

    auto operator<=>(const run_key&) const = default;
};

struct running_run {
    run_key run;
    std::string checkpoint;
    int percent = 0;
};

struct ended_run {
    /// Sequence number of the ended run, from 1 in each incarnation of the worker.
    std::uint64_t number = 0;
    run_key run;
    run_end how = run_end::lapsed;
    std::string checkpoint;
};

struct start_order {
    std::string worker;
    run_key run;
    /// Shared by the orders of a job, of which thousands may be under way; null when it is empty.
    std::shared_ptr<const std::string> payload;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t fence = 0;
    /// Time on the worker's clock after which the worker refuses the order.
    std::int64_t valid_until_ms = 0;
};

/// Memory in bytes that a start takes until its response, with a payload of this size. The message
/// is kept until then; its encoding may lengthen each byte of the payload to six.
[[nodiscard]] constexpr std::int64_t memory_of_start(std::size_t payload_bytes) {
    constexpr std::int64_t call_bytes = 4096;
    constexpr std::int64_t encoded_bytes = 6;
    return call_bytes + encoded_bytes * static_cast<std::int64_t>(payload_bytes);
}

[[nodiscard]] inline std::int64_t memory_of(const start_order& order) {
    return memory_of_start(order.payload ? order.payload->size() : 0);
}

struct stop_order {
    std::string worker;
    run_key run;
    std::uint64_t fence = 0;
};

struct poll_order {
    std::string worker;
    std::uint64_t fence = 0;
    /// The worker may forget ended runs up to this number.
    std::uint64_t ends_saved = 0;
    /// End of the lease of all runs of the worker, on its clock; 0 leaves the lease unchanged.
    std::int64_t valid_until_ms = 0;
    /// How long the worker may delay the response until another run ends.
    common::duration wait{0};
};

enum class order_status {
    accepted,
    stale_fence, ///< a higher fence has been seen; nothing was done
    old_run,     ///< this or a higher run was stopped or has ended there
    too_late,    ///< the order had expired
    no_room,     ///< the task does not fit on the worker
    no_ticket,   ///< the ticket is missing, wrong or expired
    unhealthy,   ///< the worker accepts no work at present; nothing was done
    rejected,    ///< the order cannot be read or the task is not allowed there
    other_life,  ///< the worker has restarted since; nothing was done
    not_sent,    ///< no connection; nothing was done
    no_answer,   ///< the order may have been executed or may still be
};
inline constexpr common::name_table<order_status, 11> order_status_names{
    "order status",
    {"accepted", "stale_fence", "old_run", "too_late", "no_room", "no_ticket", "unhealthy",
     "rejected", "other_life", "not_sent", "no_answer"}};

struct order_result {
    order_status status = order_status::no_answer;
    /// The worker's clock when it responded; 0 without a response.
    std::int64_t clock_ms = 0;
};

/// Number of ended runs that a worker lists at most in one response.
inline constexpr std::size_t max_listed_ends = 500;

struct poll_result {
    order_status status = order_status::no_answer;
    /// Another node has polled the worker as well and got no response either.
    bool silence_confirmed = false;
    std::int64_t clock_ms = 0;
    std::int64_t start_time_ms = 0;
    std::vector<running_run> running;
    std::vector<ended_run> ended;

    /// The list of ended runs has the maximum length. The rest of them follows once ends_saved has
    /// passed these.
    [[nodiscard]] bool may_omit_ends() const { return ended.size() >= max_listed_ends; }
};

/// How calls wait while all connections to their worker are in use. An order that waits still
/// arrives within lease_settings::call_limit, also with the longest timeout. Polls go first:
/// without an answered one the worker counts as unreachable, however many orders wait.
inline constexpr net::connection_wait order_connection_wait{std::chrono::milliseconds(500), false};
inline constexpr net::connection_wait poll_connection_wait{std::chrono::milliseconds(500), true};

/// Sends orders to workers. Each call is sent at most once and completes exactly once, after the
/// wait for a connection and the timeout at the latest.
class worker_link {
public:
    virtual ~worker_link() = default;
    virtual void start(const net::endpoint& to, const start_order& order, common::duration timeout,
                       std::function<void(order_result)> complete) = 0;
    virtual void stop(const net::endpoint& to, const stop_order& order, common::duration timeout,
                      std::function<void(order_result)> complete) = 0;
    /// The timeout does not include poll_order::wait.
    virtual void poll(const net::endpoint& to, const poll_order& order, common::duration timeout,
                      std::function<void(poll_result)> complete) = 0;

protected:
    worker_link() = default;
    worker_link(const worker_link&) = default;
    worker_link& operator=(const worker_link&) = default;
};

struct advice_request {
    task_key step; ///< index is not used
    std::vector<std::string> workers;
};

struct ticket_grant {
    std::string worker;
    std::string ticket;
};

struct advice_result {
    /// False when there was no usable response; the result then says nothing about the workers.
    bool answered = false;
    /// The service has too many pending calls of this process.
    bool busy = false;
    std::vector<ticket_grant> granted;
};

/// The service that decides which workers may run a step. It processes one call at a time for each
/// calling instance.
class advice_source {
public:
    virtual ~advice_source() = default;
    virtual void ask(const advice_request& request, common::duration timeout,
                     std::function<void(advice_result)> complete) = 0;

protected:
    advice_source() = default;
    advice_source(const advice_source&) = default;
    advice_source& operator=(const advice_source&) = default;
};

} // namespace buckthornspar::dispatch
