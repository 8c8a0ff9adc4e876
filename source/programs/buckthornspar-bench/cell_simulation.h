#pragma once

#include "core/common/rng.h"
#include "core/placement/placement_engine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace buckthornspar::bench {

constexpr std::int64_t cores = 1000;
constexpr std::int64_t gigabytes = 1024;

/// Workers of one capacity, 8 to a rack.
[[nodiscard]] std::vector<placement::worker_info>
make_workers(std::size_t count, const placement::resources& capacity, const std::string& prefix);

/// A demand from a mix of small, processor-heavy, memory-heavy and large batch tasks. Over many
/// tasks the mix needs about 2 GB to a core.
[[nodiscard]] placement::resources mixed_demand(common::rng& random);

/// The largest share of any resource that the demand takes of the capacity.
[[nodiscard]] double largest_share(const placement::resources& demand,
                                   const placement::resources& capacity);

/// Runs an engine under virtual time: tasks end after their real run time, and workers may fail and
/// come back. Each event is followed by one decision.
class cell_simulation {
public:
    using start_listener = std::function<void(const std::string& task, common::time_point now)>;

    explicit cell_simulation(placement::placement_engine& engine) : m_engine(engine) {}

    void on_start(start_listener listener) { m_on_start = std::move(listener); }

    /// Schedules the submission at its submission time. real_run is how long the task runs, which
    /// the engine is not told.
    void add_task(placement::task_request request, common::duration real_run);

    /// The worker fails at the time and comes back after the outage; its tasks are submitted again.
    void add_failure(common::time_point at, const placement::worker_info& worker,
                     common::duration outage);

    /// Processes all events. Returns the time of the last one.
    common::time_point run();

    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    enum class event_kind { submission, end, failure, recovery };
    struct event {
        event_kind kind = event_kind::submission;
        std::string name;
        std::uint64_t attempt = 0;
    };
    struct running_task {
        placement::task_request request;
        common::duration real_run{0};
        std::string worker;
        std::uint64_t attempt = 0;
    };

    void process(const event& e);
    void fail(const std::string& worker);
    void decide();
    void start(const placement::assignment& a);

    placement::placement_engine& m_engine;
    start_listener m_on_start;
    std::multimap<common::time_point, event> m_events;
    std::unordered_map<std::string, running_task> m_tasks;
    std::map<std::string, placement::worker_info> m_failing;
    common::time_point m_now{};
    std::size_t m_starts = 0;
};

} // namespace buckthornspar::bench
