#include "core/placement/workload_policy.h"

#include <memory>

namespace buckthornspar::placement {

namespace {

placement_choice choose_packed(const placement_view& view, const task_request& request) {
    const auto worker =
        view.scoring.choose(view.workers, request.demand, view.open, search_effort::exhaustive);
    if (worker) {
        return {worker, wait_reason::none};
    }
    const bool reserved = view.open && view.scoring.choose(view.workers, request.demand, nullptr,
                                                           search_effort::exhaustive);
    return {std::nullopt, reserved ? wait_reason::gang_reserved : wait_reason::no_capacity};
}

/// Packed: the scorer alone decides.
class batch final : public workload_policy {
public:
    [[nodiscard]] placement_choice choose(const placement_view& view,
                                          const task_request& request) override {
        return choose_packed(view, request);
    }
};

/// Tasks of a job are reserved together by the engine; a single one is packed like batch work.
class all_at_once final : public workload_policy {
public:
    [[nodiscard]] bool starts_together() const override { return true; }

    [[nodiscard]] placement_choice choose(const placement_view& view,
                                          const task_request& request) override {
        return choose_packed(view, request);
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
