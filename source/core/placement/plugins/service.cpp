#include "core/placement/spread_chooser.h"

#include <memory>

namespace buckthornspar::placement {

namespace {

/// Spreads tasks over places and racks unless the operators' configuration has another rule.
class service final : public workload_policy {
public:
    explicit service(std::size_t max_per_rack) : m_spread(spread_rule::place, max_per_rack) {}

    [[nodiscard]] bool has_expected_end() const override { return false; }
    [[nodiscard]] bool depends_on_demand_only() const override { return false; }
    bool set_spread(spread_rule rule) override { return m_spread.set_rule(rule); }

    [[nodiscard]] placement_choice choose(const placement_context& context,
                                          const task_request& request) override {
        return m_spread.choose(context, request);
    }

    void task_assigned(const task_request& request, const worker_location& location) override {
        m_spread.task_assigned(request, location);
    }

    void task_released(const task_request& request, const worker_location& location) override {
        m_spread.task_released(request, location);
    }

private:
    spread_chooser m_spread;
};

const policy_registration registration("service", [](const placement_settings& settings) {
    return std::make_unique<service>(settings.max_service_tasks_per_rack);
});

} // namespace

} // namespace buckthornspar::placement
