#include "core/placement/spread_chooser.h"

#include <memory>

namespace buckthornspar::placement {

namespace {

constexpr std::size_t no_rack_limit = 0;

placement_choice choose_packed(const placement_context& context, const task_request& request) {
    const auto worker = context.scoring.choose(context.workers, request.demand,
                                               context.allowed_workers, search_effort::exhaustive);
    if (worker) {
        return {worker, wait_reason::none};
    }
    const bool reserved =
        context.allowed_workers &&
        context.scoring.choose(context.workers, request.demand, nullptr, search_effort::exhaustive);
    return {std::nullopt, reserved ? wait_reason::gang_reserved : wait_reason::no_capacity};
}

/// Packs tasks by score alone, unless the operators' configuration has a spread rule.
class batch final : public workload_policy {
public:
    bool set_spread(spread_rule rule) override { return m_spread.set_rule(rule); }

    [[nodiscard]] placement_choice choose(const placement_context& context,
                                          const task_request& request) override {
        return m_spread.rule() == spread_rule::none ? choose_packed(context, request)
                                                    : m_spread.choose(context, request);
    }

    void task_assigned(const task_request& request, const worker_location& location) override {
        if (m_spread.rule() != spread_rule::none) {
            m_spread.task_assigned(request, location);
        }
    }

    void task_released(const task_request& request, const worker_location& location) override {
        if (m_spread.rule() != spread_rule::none) {
            m_spread.task_released(request, location);
        }
    }

private:
    spread_chooser m_spread{spread_rule::none, no_rack_limit};
};

/// The engine places the tasks of a job together; a task that is placed alone is packed like batch
/// work.
class all_at_once final : public workload_policy {
public:
    [[nodiscard]] bool starts_as_gang() const override { return true; }

    [[nodiscard]] placement_choice choose(const placement_context& context,
                                          const task_request& request) override {
        return choose_packed(context, request);
    }
};

const policy_registration batch_registration("batch", [](const placement_settings& /*settings*/) {
    return std::make_unique<batch>();
});

const policy_registration all_at_once_registration("all_at_once",
                                                   [](const placement_settings& /*settings*/) {
                                                       return std::make_unique<all_at_once>();
                                                   });

} // namespace

} // namespace buckthornspar::placement
