#include "core/placement/spread_chooser.h"

#include <algorithm>
#include <limits>

namespace buckthornspar::placement {

namespace {

constexpr std::uint32_t no_limit = std::numeric_limits<std::uint32_t>::max();

class spread_filter final : public worker_filter {
public:
    spread_filter(const placement_context& context, const job_spread& spread)
        : m_context(context), m_spread(spread) {}

    /// Maximum number of tasks of the job that the place and the rack may already hold.
    void limit(std::uint32_t place, std::uint32_t rack) {
        m_place_limit = place;
        m_rack_limit = rack;
    }

    [[nodiscard]] bool accepts(worker_index worker) const override {
        const worker_location& at = m_context.workers[worker].location;
        return m_spread.in_place(at.place) <= m_place_limit &&
               m_spread.in_rack(at.rack) <= m_rack_limit &&
               (!m_context.allowed_workers || m_context.allowed_workers->accepts(worker));
    }

private:
    const placement_context& m_context;
    const job_spread& m_spread;
    std::uint32_t m_place_limit = no_limit;
    std::uint32_t m_rack_limit = no_limit;
};

std::vector<std::uint32_t> place_levels(const worker_table& workers, const job_spread& spread) {
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

// Finding the least used rack would visit every rack. An approximation is sufficient: the number of
// tasks per rack that an even spread has reached in the places of this level.
std::uint32_t even_rack_level(const worker_table& workers, const job_spread& spread,
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

std::vector<std::uint32_t> rack_levels(const worker_table& workers, const job_spread& spread) {
    std::size_t racks = 0;
    for (const auto& place : workers.places()) {
        racks += place.racks;
    }
    std::vector<std::uint32_t> levels;
    if (spread.by_rack.size() < racks) {
        levels.push_back(0);
    }
    for (const auto& [rack, tasks] : spread.by_rack) {
        levels.push_back(tasks);
    }
    std::sort(levels.begin(), levels.end());
    levels.erase(std::unique(levels.begin(), levels.end()), levels.end());
    return levels;
}

wait_reason explain(const placement_context& context, const task_request& request) {
    const auto fits = [&](const worker_filter* filter) {
        return context.scoring
            .choose(context.workers, request.demand, filter, search_effort::exhaustive)
            .has_value();
    };
    if (fits(context.allowed_workers)) {
        return wait_reason::spread_constraint;
    }
    return context.allowed_workers && fits(nullptr) ? wait_reason::gang_reserved
                                                    : wait_reason::no_capacity;
}

} // namespace

std::uint32_t job_spread::in_place(std::uint32_t place) const {
    return place < by_place.size() ? by_place[place] : 0;
}

std::uint32_t job_spread::in_rack(std::uint32_t rack) const {
    const auto position = by_rack.find(rack);
    return position == by_rack.end() ? 0 : position->second;
}

spread_chooser::spread_chooser(spread_rule rule, std::size_t max_per_rack)
    : m_rule(rule),
      m_rack_limit(max_per_rack == 0 ? no_limit : static_cast<std::uint32_t>(max_per_rack) - 1) {}

bool spread_chooser::set_rule(spread_rule rule) {
    if (rule == m_rule) {
        return false;
    }
    m_rule = rule;
    m_jobs.clear();
    return true;
}

placement_choice spread_chooser::choose(const placement_context& context,
                                        const task_request& request) const {
    static const job_spread no_tasks;
    const auto position = m_jobs.find(request.job);
    const job_spread& spread = position == m_jobs.end() ? no_tasks : position->second;
    if (const auto worker = choose_even(context, request, spread)) {
        return {worker, wait_reason::none};
    }
    spread_filter filter(context, spread);
    filter.limit(no_limit, m_rack_limit);
    if (const auto worker = context.scoring.choose(context.workers, request.demand, &filter,
                                                   search_effort::exhaustive)) {
        return {worker, wait_reason::none};
    }
    return {std::nullopt, explain(context, request)};
}

std::optional<worker_index> spread_chooser::choose_even(const placement_context& context,
                                                        const task_request& request,
                                                        const job_spread& spread) const {
    switch (m_rule) {
    case spread_rule::none:
        return std::nullopt;
    case spread_rule::rack:
        return choose_by_rack(context, request, spread);
    case spread_rule::place:
        return choose_by_place(context, request, spread);
    }
    return std::nullopt;
}

// Tries the levels in ascending order, so that a full place does not stop the spread over the
// others.
std::optional<worker_index> spread_chooser::choose_by_place(const placement_context& context,
                                                            const task_request& request,
                                                            const job_spread& spread) const {
    spread_filter filter(context, spread);
    for (const std::uint32_t place_level : place_levels(context.workers, spread)) {
        const std::uint32_t even = even_rack_level(context.workers, spread, place_level);
        for (const std::uint32_t rack_level : {std::min(even, m_rack_limit), m_rack_limit}) {
            filter.limit(place_level, rack_level);
            const auto worker = context.scoring.choose(context.workers, request.demand, &filter,
                                                       search_effort::bounded);
            if (worker) {
                return worker;
            }
        }
    }
    return std::nullopt;
}

std::optional<worker_index> spread_chooser::choose_by_rack(const placement_context& context,
                                                           const task_request& request,
                                                           const job_spread& spread) const {
    spread_filter filter(context, spread);
    for (const std::uint32_t level : rack_levels(context.workers, spread)) {
        filter.limit(no_limit, std::min(level, m_rack_limit));
        const auto worker = context.scoring.choose(context.workers, request.demand, &filter,
                                                   search_effort::bounded);
        if (worker) {
            return worker;
        }
    }
    return std::nullopt;
}

void spread_chooser::task_assigned(const task_request& request, const worker_location& location) {
    job_spread& spread = m_jobs[request.job];
    if (location.place >= spread.by_place.size()) {
        spread.by_place.resize(location.place + 1);
    }
    ++spread.by_place[location.place];
    ++spread.by_rack[location.rack];
    ++spread.tasks;
}

void spread_chooser::task_released(const task_request& request, const worker_location& location) {
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

} // namespace buckthornspar::placement
