#pragma once

#include "core/net/http_server.h"
#include "soak/customer_check.h"
#include "soak/lossy_calls.h"
#include "soak/lost_check.h"
#include "soak/soak_log.h"
#include "soak/twice_check.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace buckthornspar::soak {

class link_board;
class platform_store;

/// What the members of one run of a gang know of each other.
struct gang_state {
    std::set<std::string> members;
    /// Time when all were there.
    std::optional<std::int64_t> begun_ms;
    /// Time when the first ended.
    std::optional<std::int64_t> ended_ms;
};
/// By step and run.
using gang_board = std::map<std::pair<std::string, std::uint32_t>, gang_state>;

/// What the workers of a soak share.
struct worker_environment {
    platform_store& store;
    link_board& links;
    twice_check& check;
    lost_check& lost;
    customer_check& customers;
    gang_board& gangs;
    soak_log& log;
    lossy_calls& calls;
    /// Brings all workers up to the present time, so that a start is compared with runs that still
    /// go on.
    std::function<void()> advance_all;
};

struct worker_settings {
    std::string id;
    std::string service;
    std::string rack;
    std::int64_t cpu = 16'000;
    std::int64_t memory_mb = 32'768;
    /// Speed of the worker's clock; it may be 2 % slow.
    double clock_rate = 1.0;
};

/// Stand-in for a worker of the platform: runs tasks under a lease, lists runs and ends, and writes
/// its entry in the instance list while it reaches the store. The payload of a job says how long
/// its tasks work ("work_ms=N"), up to which run they fail ("fails=N") and how many are a gang
/// ("gang=N", with tickets). All functions run on the loop's thread.
class leased_worker {
public:
    leased_worker(worker_environment environment, worker_settings settings);

    /// Handles a call of the node.
    void handle(const std::string& node, const net::http_request& request,
                const net::http_reply& reply);

    /// Ends the runs that are over and writes the entry when it is due. Called periodically.
    void tick();
    void advance();

    void crash();
    /// Starts again with the same id, a new start time and a new clock.
    void restart();
    /// Reports draining, and has drained some time after the store has accepted the report.
    void drain();
    /// Ends for good. A planned end removes the entry, which otherwise stays until it expires.
    void leave(bool planned);
    [[nodiscard]] bool is_leaving() const { return m_draining || m_left; }
    [[nodiscard]] bool has_left() const { return m_left; }
    /// Whether the instance list has its entry.
    [[nodiscard]] bool is_listed() const { return m_listed; }
    /// Whether the worker is to leave now. One that crashes while it drains does not return.
    [[nodiscard]] bool has_drained() const;
    [[nodiscard]] bool is_up() const { return m_up; }
    [[nodiscard]] std::int64_t born_ms() const { return m_born_ms; }
    [[nodiscard]] std::int64_t cpu() const { return m_settings.cpu; }
    [[nodiscard]] std::size_t runs() const { return m_running.size(); }
    [[nodiscard]] std::size_t free_places() const;
    [[nodiscard]] const std::string& id() const { return m_settings.id; }
    [[nodiscard]] std::string key() const { return "servers/" + m_settings.id; }

private:
    struct active_run {
        run_event event;
        std::int64_t work_ms = 0;
        std::int64_t done_at_ms = 0;
        bool fails = false;
        /// Number of tasks of the gang, 0 for a task of its own.
        std::size_t gang = 0;
        /// Whether it ends by itself once all members are there.
        bool works_to_end = true;
    };
    struct ended_run {
        std::uint64_t number = 0;
        run_event event;
        std::string how;
    };
    struct waiting_poll {
        std::int64_t until_ms = 0;
        net::http_reply reply;
    };

    void serve(const net::http_request& request, const net::http_reply& reply);
    [[nodiscard]] net::http_response start(const boost::json::object& body);
    [[nodiscard]] net::http_response stop(const boost::json::object& body);
    void poll(const boost::json::object& body, const net::http_reply& reply);
    [[nodiscard]] gang_state& gang_of(const run_event& run);
    void join_gang(active_run& run);
    void break_gang(const run_event& run);
    [[nodiscard]] const char* update_gang_run(active_run& run);
    void add_run(const boost::json::object& body, const std::string& task, std::uint32_t run);
    [[nodiscard]] bool accept_fence(const boost::json::object& body);
    void acknowledge(std::uint64_t last_seen);
    void extend_lease(std::int64_t until_clock_ms);
    void end_run(const std::string& task, const std::string& how, std::int64_t at_ms);
    void end_due_runs(std::int64_t until_ms);
    void answer_polls();
    void write_entry();
    void expire_entry();
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] net::http_response accepted() const;
    [[nodiscard]] net::http_response refused(const char* reason) const;
    [[nodiscard]] net::http_response lists() const;

    worker_environment m_env;
    worker_settings m_settings;
    bool m_up = false;
    bool m_draining = false;
    bool m_left = false;
    std::optional<std::int64_t> m_drain_accepted_ms;
    std::int64_t m_born_ms = 0;
    std::int64_t m_started_at_ms = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    /// End of the lease in milliseconds of now_ms(); 0 when there has been none.
    std::int64_t m_lease_ends_at_ms = 0;
    bool m_lapsed = true;
    std::uint64_t m_last_end = 0;
    std::int64_t m_next_entry_ms = 0;
    std::int64_t m_entry_written_ms = 0;
    bool m_listed = false;
    std::map<std::string, active_run> m_running;
    std::deque<ended_run> m_ends;
    std::map<std::string, std::uint32_t> m_highest_ended;
    std::list<waiting_poll> m_polls;
};

} // namespace buckthornspar::soak
