#pragma once

#include "core/customers/customer_gauges.h"
#include "core/dispatch/dispatcher.h"
#include "core/dispatch/known_changes.h"
#include "core/dispatch/shared_store.h"
#include "core/net/event_loop.h"
#include "core/service/advice_balancer.h"
#include "core/service/job_directory.h"
#include "core/service/load_shedding.h"
#include "core/service/owner_load.h"
#include "core/service/peer_messages.h"
#include "core/service/platform_adapter.h"
#include "core/service/prefix_watcher.h"
#include "core/service/response_timeout.h"
#include "core/service/store_health.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace buckthornspar::service {

/// Services of the surrounding process that the owner uses.
struct owner_environment {
    net::event_loop& loop;
    common::clock& clock;
    common::counters& counters;
    dispatch::shared_store& store;
    const store_health& health;
    platform_adapter& platform;
    job_directory& directory;
    dispatch::dispatcher_settings dispatcher;
    common::duration state_retention;
    std::string node;
    /// Sends a ticket request to the advice service through the named node; completes exactly once.
    std::function<void(const std::string& node, const dispatch::advice_call& call,
                       std::function<void(dispatch::advice_result)> complete)>
        ask_advice;
    /// Polls a worker through another node; completes exactly once.
    std::function<void(const net::endpoint& worker, const dispatch::poll_order& order,
                       std::function<void(dispatch::poll_result)> complete)>
        poll_through_peer;
    /// See owner_election::may_act().
    std::function<bool()> may_act;
    /// The ownership is lost: the owner key has changed, or a worker has accepted a higher fence.
    std::function<void(std::string_view reason)> report_lost;
    /// The job directory has new entries.
    std::function<void()> on_directory_changed;
    /// Time that a full page of the store takes over the node's link; 0 when unknown.
    common::duration page_time{0};
    /// The node can carry the fleet only in part: it sheds work while it is overloaded.
    bool may_shed = false;
};

/// See dispatch::dispatcher_settings::owner.
[[nodiscard]] std::string owner_name(const std::string& node, const net::endpoint& address);

/// Controls the service during one term of ownership: loads the state from the store, then executes
/// the decisions of the dispatcher and records them in the store. Runs on the event loop.
class owner_controller : public std::enable_shared_from_this<owner_controller> {
public:
    owner_controller(owner_environment environment, std::uint64_t fence);

    void begin(const std::vector<dispatch::queue_settings>& queues,
               const std::vector<customers::customer_settings>& customers = {});
    /// Ends the term; nothing is sent afterwards.
    void end();
    void on_configuration(const std::vector<dispatch::queue_settings>& queues,
                          const std::vector<customers::customer_settings>& customers);
    /// The node follows this owner and listens on the address, so that no earlier term of an owner
    /// of this name goes on.
    void on_peer_seen(const std::string& node, const net::endpoint& address);
    void on_peer_lost(const std::string& node);
    /// Planned stop: starts no more runs and calls back when all changes are recorded.
    void drain(std::function<void()> complete);
    /// A hand-over would interrupt nothing: the owner has not begun, or it has recovered all runs
    /// and no change is being recorded.
    [[nodiscard]] bool is_quiet() const;
    /// See dispatch::dispatcher_settings.
    void set_max_runs(std::size_t runs) { m_dispatcher.set_max_runs(runs); }

    [[nodiscard]] bool loaded() const { return m_loaded; }
    [[nodiscard]] std::uint64_t fence() const { return m_fence; }
    /// Number of jobs by queue of which no task has started; empty until all jobs are loaded and
    /// while the watch of new jobs is too far behind.
    [[nodiscard]] std::optional<pending_report> pending() const;

private:
    // owner_controller_loading.cpp
    void load();
    void load_prefix(const std::string& prefix, std::function<void(prefix_contents)> complete);
    /// Reads the prefixes one after another, so that each page has the link for itself.
    void load_in_turn();
    void on_active_loaded(prefix_contents contents);
    void on_progress_loaded(prefix_contents contents);
    void on_workers_loaded(prefix_contents contents);
    void load_key(std::string_view key,
                  std::optional<dispatch::store_item> owner_controller::*target);
    void on_loaded();
    void load_workers(const std::vector<dispatch::store_item>& items);
    /// Loads as many records as fit in a short time and continues later with the next ones.
    void load_records();
    void load_active_item(dispatch::store_item& item);
    /// Progress of a job from the records that are not loaded yet; empty when it has none.
    [[nodiscard]] dispatch::job_progress take_progress(const std::string& id);
    void load_ended_job(const dispatch::store_item& item);
    void finish_loading();
    void watch_active_keys(const prefix_contents& known);
    void watch_worker_entries(const prefix_contents& known);
    void on_active_snapshot(const std::vector<dispatch::store_item>& items);
    void on_active_item(const dispatch::store_item& item);
    void on_active_removed(const std::string& key);
    void on_worker_snapshot(const std::vector<dispatch::store_item>& items);
    void on_worker_item(const dispatch::store_item& item);

    // owner_controller_reporting.cpp
    void report_load(common::time_point now);
    void update_shedding(common::duration loop_delay);

    // owner_controller.cpp
    /// Processes once after all events that are ready now.
    void process_soon();
    void process_actions();
    /// Time before which all changes under the watched prefix are known.
    [[nodiscard]] common::time_point changes_known_until(common::time_point now,
                                                         const prefix_watcher& watcher) const;
    [[nodiscard]] dispatch::store_contact contact() const;
    void check_store();
    void schedule_wakeup(common::time_point due);
    void execute_action(dispatch::dispatch_action& action);
    void send_poll(const dispatch::poll_call& call);
    void record_response_time(common::time_point sent_at, bool answered, bool waited);
    void send_advice_calls();
    void on_advice(const advice_balancer::assignment& assigned,
                   const dispatch::advice_result& result);
    void save_progress();
    void send_commit();
    void on_commit(const dispatch::store_result& result);
    void finish_commit(std::uint64_t revision);
    void remove_expired_progress();
    [[nodiscard]] std::function<bool()> make_active_check();

    owner_environment m_env;
    dispatch::dispatcher m_dispatcher;
    advice_balancer m_advice_balancer;
    response_timeout m_worker_timeout;
    owner_load m_load;
    load_shedding m_shedding;
    std::uint64_t m_fence = 0;
    bool m_active = true;
    bool m_loaded = false;
    bool m_processing = false;
    bool m_process_again = false;
    bool m_process_posted = false;
    bool m_store_down = false;
    std::optional<common::time_point> m_wakeup;

    // State that was loaded from the store.
    unsigned m_pending_loads = 0;
    std::vector<dispatch::queue_settings> m_queues;
    std::vector<customers::customer_settings> m_customers;
    customers::customer_gauges m_customer_gauges;
    prefix_contents m_active_contents;
    std::vector<dispatch::store_item> m_progress_items;
    /// Number of records of m_active_contents and then of m_progress_items that are loaded. The
    /// value of a loaded record is released.
    std::size_t m_loaded_records = 0;
    /// Jobs whose progress cannot be read. They are not run, because nothing shows which of their
    /// tasks have succeeded.
    std::set<std::string> m_unreadable_jobs;
    prefix_contents m_worker_contents;
    std::optional<dispatch::store_item> m_workers_record;
    std::optional<dispatch::store_item> m_sequence;
    std::shared_ptr<prefix_watcher> m_active_watcher;
    std::shared_ptr<prefix_watcher> m_worker_watcher;

    // Commits to the store.
    std::uint64_t m_sequence_revision = 0;
    std::uint64_t m_commits = 0;
    std::optional<dispatch::store_commit> m_commit;
    bool m_commit_saves_progress = false;
    bool m_commit_scheduled = false;
    common::time_point m_next_commit;
    std::deque<std::pair<common::time_point, std::string>> m_ended_jobs;
    std::function<void()> m_on_drained;
};

} // namespace buckthornspar::service
