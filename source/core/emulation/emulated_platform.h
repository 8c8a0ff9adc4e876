#pragma once

#include "core/common/event_queue.h"
#include "core/dispatch/shared_store.h"
#include "core/emulation/change_log.h"
#include "core/emulation/emulated_fleet.h"
#include "core/emulation/emulated_link.h"
#include "core/emulation/emulated_owner.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace buckthornspar::emulation {

/// A change that the store answers later than this is not acknowledged; same value as in the
/// platform's store client.
inline constexpr common::duration store_call_timeout = std::chrono::milliseconds(700);

struct platform_settings {
    dispatch::dispatcher_settings dispatcher;
    fleet_settings fleet;
    /// Bounds of the message delay.
    common::duration min_delay = std::chrono::milliseconds(1);
    common::duration max_delay = std::chrono::milliseconds(22);
    common::duration store_delay = std::chrono::milliseconds(8);
    /// Delay until a change of the instance list or the jobs reaches an owner whose watch call is
    /// waiting at the store.
    common::duration watch_delay = std::chrono::milliseconds(60);
    /// Longest time that a watch call waits for a change; same values as in the service.
    common::duration watch_wait = std::chrono::milliseconds(500);
    /// Interval at which the owner renews its lease in the store; same value as in the service.
    common::duration lease_renewal = std::chrono::milliseconds(350);
    /// Time between an answer with changes of the instance list and the next call.
    common::duration workers_watch_interval{0};
    /// Processor time of the owner for an event and for a plan.
    common::duration event_cost{0};
    common::duration plan_cost{0};
    /// An unresponsive owner is replaced after this time.
    common::duration owner_lease = std::chrono::milliseconds(1200);
    /// An owner that stops by itself is replaced after this time.
    common::duration handover_delay = std::chrono::milliseconds(40);
    /// Time that a successor takes to read the store.
    common::duration load_delay = std::chrono::milliseconds(150);
    /// A worker that does not reach the store is removed from the instance list after this time.
    common::duration list_timeout = std::chrono::milliseconds(4500);
    /// Interval at which a worker renews its entry in the instance list.
    common::duration report_interval = std::chrono::milliseconds(1500);
    /// A worker that a deadly task has crashed is back after this time.
    common::duration crash_length = std::chrono::milliseconds(3000);
    /// Owners learn at once that a former owner's term has ended.
    bool reports_ended_owners = false;
    /// The advice service grants one in this many workers to a step.
    unsigned granted_one_in = 4;
    /// Time after an outage of the store in which the platform judges no rule with a time bound
    /// (contact_ms).
    common::duration contact_time = std::chrono::milliseconds(4000);
    /// Mutations: the owner claims that it knows all cancellations, or all reports of draining, up
    /// to now.
    bool claims_all_cancels = false;
    bool claims_all_drains = false;
    /// Mutation: the owner reads that each accepted job has begun.
    bool claims_begun = false;
};

class platform_observer : public fleet_observer {
public:
    /// An owner tells callers that the job is queued or running.
    virtual void on_job_shown(const std::string& job, dispatch::job_state state);
    /// The final state of the job is visible to callers from now on.
    virtual void on_job_ended(const std::string& job, dispatch::job_state state);
    /// The cancellation is stored; workers may still begin starts of the job for a limited time
    /// after it is acknowledged.
    virtual void on_cancel_accepted(const std::string& job);
    virtual void on_cancel_acknowledged(const std::string& job);
    /// The store has acknowledged a worker's report that it is draining.
    virtual void on_drain_acknowledged(const emulated_worker& worker);

protected:
    platform_observer() = default;
};

/// The platform around the owner of a service: store, instance list, workers, advice service and
/// network, under a virtual clock. Faults are injected by calls. Runs are deterministic for a given
/// seed.
class emulated_platform {
public:
    emulated_platform(const platform_settings& settings, platform_observer& observer,
                      std::uint64_t seed);
    ~emulated_platform();
    emulated_platform(const emulated_platform&) = delete;
    emulated_platform& operator=(const emulated_platform&) = delete;

    void set_queues(std::vector<dispatch::queue_settings> queues);
    void set_customers(std::vector<customers::customer_settings> customers);
    void add_worker(const dispatch::worker_report& report);
    /// Starts the election of the first owner, or of the next one when there is none.
    void elect();
    void run_until(common::duration since_start);
    [[nodiscard]] common::time_point now() const { return m_events.now(); }
    void after(common::duration delay, std::function<void()> event) {
        m_events.after(delay, std::move(event));
    }

    /// Returns false when the store does not respond; the job was not accepted then.
    bool submit(const dispatch::job_spec& spec, const std::vector<double>& work_ms);
    bool cancel(const std::string& job);

    // Faults.
    void kill_owner();
    void stop_owner();
    void freeze_owner(common::duration length);
    /// The owner's processor takes the factor of the time for its work.
    void slow_owner(common::duration length, double factor);
    /// Separates the owner and these workers from all other nodes and workers, and the owner from
    /// the store; with `store` also the workers. Another owner is elected meanwhile. At most one
    /// such partition exists at a time; further ones are ignored.
    void isolate_owner(const std::set<std::string>& workers, common::duration length, bool store);
    /// Removes the owner's key, so that another one is elected at once. The owner learns of it from
    /// its watch. Separates the owner and these workers from all others as isolate_owner() does,
    /// but not from the store; without workers nothing is separated.
    void revoke_key(const std::set<std::string>& workers, common::duration length);
    void crash_worker(const std::string& worker, common::duration length);
    void drain_worker(const std::string& worker);
    /// The worker has only this share of its capacity for the time; its runs go on.
    void shrink_worker(const std::string& worker, common::duration length, std::int64_t percent);
    /// Cuts the connection between the owner and the worker, and with `store` also the worker's
    /// connections to the other nodes and the store.
    void cut_worker(const std::string& worker, common::duration length, bool store);
    /// Orders to the worker are executed after the delay and get no response.
    void delay_orders(const std::string& worker, common::duration length, common::duration delay);
    void lose_answers(const std::string& worker, common::duration length);
    /// Removes the worker's entry from the instance list for the time.
    void lose_entry(const std::string& worker, common::duration length);
    void stop_store(common::duration length);
    /// The owner's link carries this many bytes a second in each direction; messages queue.
    void limit_owner_link(common::duration length, std::size_t bytes_per_second);
    /// Watch calls and commits take longer by the given time.
    void slow_store(common::duration length, common::duration by);
    /// Only the answers to watch calls of one prefix take longer by the given time.
    void delay_watch(watched_prefix prefix, common::duration length, common::duration by);
    /// Answers to watch calls of one prefix do not show the changes of the given time before them.
    void hold_back_changes(watched_prefix prefix, common::duration length, common::duration by);

    [[nodiscard]] emulated_fleet& fleet() { return m_fleet; }
    /// The store has answered calls within their time limits for so long that the platform judges
    /// rules with a time bound.
    [[nodiscard]] bool is_store_stable() const {
        return now() >= m_store_unstable_until + m_settings.contact_time;
    }
    /// True while accepted jobs have not ended.
    [[nodiscard]] bool has_open_jobs() const { return !m_jobs.empty(); }
    [[nodiscard]] bool is_final(const std::string& job) const;

private:
    friend class emulated_owner;
    friend class emulated_watch;

    struct worker_link_state {
        common::time_point cut_until;
        common::time_point delayed_until;
        common::duration extra_delay{0};
        common::time_point answers_lost_until;
        common::time_point hidden_until;
        common::time_point store_cut_until;
        bool listed = false;
    };
    /// An owner that reaches only some of the workers, which only it reaches.
    struct partition {
        std::uint64_t fence = 0;
        std::set<std::string> workers;
        common::time_point until;
        bool store_reached = false;
    };
    struct stored_job {
        dispatch::job_spec spec;
        std::uint64_t revision = 0;
    };
    struct pending_poll {
        dispatch::poll_order order;
        common::time_point until;
        std::function<void(dispatch::poll_result)> complete;
    };

    [[nodiscard]] common::duration delay();
    [[nodiscard]] bool store_up() const { return m_store.is_up(now()); }
    [[nodiscard]] change_log& log_of(watched_prefix prefix) {
        return prefix == watched_prefix::jobs ? m_job_changes : m_worker_changes;
    }
    [[nodiscard]] common::duration watch_interval(watched_prefix prefix) const {
        return prefix == watched_prefix::jobs ? common::duration(0)
                                              : m_settings.workers_watch_interval;
    }
    void watch_store(std::uint64_t fence, watched_prefix prefix, std::size_t after,
                     watch_completion complete);
    /// The owner with this fence does not reach the store.
    [[nodiscard]] bool is_isolated(std::uint64_t fence) const {
        return now() < m_partition.until && fence == m_partition.fence &&
               !m_partition.store_reached;
    }
    /// The owner with this fence does not reach the worker, directly or through another node.
    [[nodiscard]] bool is_separated(std::uint64_t fence, const std::string& worker,
                                    bool through_peer) const;
    /// The store answers a change within the time limit of its caller.
    [[nodiscard]] bool acknowledges_changes() const;
    void acknowledge_cancel(const std::string& job);
    /// Delivers the call to the worker and returns its response; completes with an empty result
    /// when there is no response within the timeout.
    /// A call through another node is only affected by a cut from all nodes.
    template <typename Result, typename Execute>
    void call_worker(std::uint64_t fence, const std::string& worker, common::duration timeout,
                     Execute execute, std::function<void(Result)> complete,
                     bool through_peer = false);
    void start(const dispatch::start_order& order,
               std::function<void(dispatch::order_result)> complete);
    void stop(const dispatch::stop_order& order,
              std::function<void(dispatch::order_result)> complete);
    void poll(const dispatch::poll_call& call, std::function<void(dispatch::poll_result)> complete);
    void poll_through_peer(const dispatch::poll_order& order,
                           std::function<void(dispatch::poll_result)> complete);
    /// False when the owner has been replaced.
    [[nodiscard]] bool save(std::uint64_t fence, const dispatch::save_batch& batch);
    void begin_term();
    void replace_owner(common::duration after);
    void cut_from_store(const std::string& worker, common::time_point until);
    void publish(const std::string& worker);
    void withdraw(const std::string& worker);
    void set_capacity(const std::string& worker, const placement::resources& capacity);
    void tick();
    void report_ended_owners();
    void report_workers();
    void answer_polls();
    void answer_poll(const pending_poll& poll);

    platform_settings m_settings;
    platform_observer& m_observer;
    common::event_queue m_events;
    common::rng m_rng;
    emulated_fleet m_fleet;
    std::vector<dispatch::queue_settings> m_queues;
    std::vector<customers::customer_settings> m_customers;
    std::map<std::string, worker_link_state> m_links;
    std::vector<pending_poll> m_pending_polls;

    std::unique_ptr<emulated_owner> m_owner;
    /// Replaced owners whose process may still be frozen and continue later.
    std::deque<std::unique_ptr<emulated_owner>> m_replaced_owners;
    partition m_partition;
    std::uint64_t m_election = 0;
    /// Number of workers at the first election.
    std::size_t m_first_workers = 0;
    emulated_link m_owner_sends;
    emulated_link m_owner_receives;
    /// When the calls were sent by which the next owner reads the store.
    common::time_point m_loading_since;

    store_condition m_store;
    common::time_point m_store_unstable_until{-m_settings.contact_time};
    change_log m_job_changes;
    change_log m_worker_changes;
    std::uint64_t m_revision = 0;
    std::uint64_t m_owner_fence = 0;
    std::map<std::string, stored_job> m_jobs;
    std::map<std::string, std::string> m_progress;
    std::set<std::string> m_cancels;
    std::set<std::string> m_final;
    std::string m_worker_record;
};

} // namespace buckthornspar::emulation
