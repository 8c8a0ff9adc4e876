#include "core/placement/workload_policy.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <unordered_map>
#include <vector>

namespace buckthornspar::placement {

namespace {

/// Tasks of one job per place and per rack.
struct job_spread {
    std::vector<std::uint32_t> by_place;
    std::unordered_map<std::uint32_t, std::uint32_t> by_rack;
    std::uint32_t tasks = 0;

    [[nodiscard]] std::uint32_t in_place(std::uint32_t place) const {
        return place < by_place.size() ? by_place[place] : 0;
    }
    [[nodiscard]] std::uint32_t in_rack(std::uint32_t rack) const {
        const auto position = by_rack.find(rack);
        return position == by_rack.end() ? 0 : position->second;
    }
};

constexpr std::uint32_t no_limit = std::numeric_limits<std::uint32_t>::max();

class spread_filter final : public worker_filter {
public:
    spread_filter(const placement_view& view, const job_spread& spread)
        : m_view(view), m_spread(spread) {}

    /// Most tasks of the job that the place and the rack may hold before this one.
    void limit(std::uint32_t place, std::uint32_t rack) {
        m_place_limit = place;
        m_rack_limit = rack;
    }

    [[nodiscard]] bool accepts(worker_index worker) const override {
        const worker_location& at = m_view.workers[worker].location;
        return m_spread.in_place(at.place) <= m_place_limit &&
               m_spread.in_rack(at.rack) <= m_rack_limit &&
               (!m_view.open || m_view.open->accepts(worker));
    }

private:
    const placement_view& m_view;
    const job_spread& m_spread;
    std::uint32_t m_place_limit = no_limit;
    std::uint32_t m_rack_limit = no_limit;
};

/// Spread over places first, then over racks; within these limits the scorer decides. Even spread
/// is a preference, so that a full place does not keep a service from running; the most tasks per
/// rack is a limit.
class service final : public workload_policy {
public:
    explicit service(std::size_t max_per_rack)
        : m_rack_limit(max_per_rack == 0 ? no_limit
                                         : static_cast<std::uint32_t>(max_per_rack) - 1) {}

    [[nodiscard]] bool ends() const override { return false; }
    [[nodiscard]] bool depends_on_demand_only() const override { return false; }

    [[nodiscard]] placement_choice choose(const placement_view& view,
                                          const task_request& request) override {
        static const job_spread no_tasks;
        const auto position = m_jobs.find(request.job);
        const job_spread& spread = position == m_jobs.end() ? no_tasks : position->second;
        if (const auto worker = choose_spread(view, request, spread)) {
            return {worker, wait_reason::none};
        }
        return {std::nullopt, explain(view, request)};
    }

    void promised(const task_request& request, const worker_location& location) override {
        job_spread& spread = m_jobs[request.job];
        if (location.place >= spread.by_place.size()) {
            spread.by_place.resize(location.place + 1);
        }
        ++spread.by_place[location.place];
        ++spread.by_rack[location.rack];
        ++spread.tasks;
    }

    void freed(const task_request& request, const worker_location& location) override {
        const auto position = m_jobs.find(request.job);
        job_spread& spread = position->second;
        --spread.by_place[location.place];
        const auto rack = spread.by_rack.find(location.rack);
        if (--rack->second == 0) {
            spread.by_rack.erase(rack);
        }
        if (--spread.tasks == 0) {
            m_jobs.erase(position);
        }
    }

private:
    std::optional<worker_index> choose_spread(const placement_view& view,
                                              const task_request& request,
                                              const job_spread& spread) const {
        spread_filter filter(view, spread);
        // A place that is full must not stop the spread over the others, so that the levels are
        // tried one after the other.
        for (const std::uint32_t place_level : place_levels(view.workers, spread)) {
            const std::uint32_t even = even_rack_level(view.workers, spread, place_level);
            for (const std::uint32_t rack_level : {std::min(even, m_rack_limit), m_rack_limit}) {
                filter.limit(place_level, rack_level);
                const auto worker = view.scoring.choose(view.workers, request.demand, &filter,
                                                        search_effort::bounded);
                if (worker) {
                    return worker;
                }
            }
        }
        filter.limit(no_limit, m_rack_limit);
        return view.scoring.choose(view.workers, request.demand, &filter,
                                   search_effort::exhaustive);
    }

    static std::vector<std::uint32_t> place_levels(const worker_table& workers,
                                                   const job_spread& spread) {
        std::vector<std::uint32_t> levels;
        for (std::uint32_t place = 0; place < workers.places().size(); ++place) {
            if (workers.places()[place].usable_workers > 0) {
                levels.push_back(spread.in_place(place));
            }
        }
        std::sort(levels.begin(), levels.end());
        levels.erase(std::unique(levels.begin(), levels.end()), levels.end());
        return levels;
    }

    // Counting the least used rack would visit each rack; the level that an even spread has reached
    // in the places of this level is enough.
    static std::uint32_t even_rack_level(const worker_table& workers, const job_spread& spread,
                                         std::uint32_t place_level) {
        std::uint32_t level = 0;
        for (std::uint32_t place = 0; place < workers.places().size(); ++place) {
            const std::uint32_t racks = workers.places()[place].racks;
            if (spread.in_place(place) == place_level && racks > 0) {
                level = std::max(level, place_level / racks);
            }
        }
        return level;
    }

    [[nodiscard]] static wait_reason explain(const placement_view& view,
                                             const task_request& request) {
        const auto fits = [&](const worker_filter* filter) {
            return view.scoring
                .choose(view.workers, request.demand, filter, search_effort::exhaustive)
                .has_value();
        };
        if (fits(view.open)) {
            return wait_reason::spread_constraint;
        }
        return view.open && fits(nullptr) ? wait_reason::gang_reserved : wait_reason::no_capacity;
    }

    std::uint32_t m_rack_limit;
    std::unordered_map<std::string, job_spread> m_jobs;
};

const policy_registration registration("service", [](const placement_settings& settings) {
    return std::make_unique<service>(settings.max_service_tasks_per_rack);
});

} // namespace

} // namespace buckthornspar::placement
