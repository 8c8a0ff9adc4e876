#include "core/routing/routing_policy.h"

namespace buckthornspar::routing {

namespace {

// Chooses the runner with the fewest outstanding requests of this entry. Requests of other entries
// are not taken into account.
class least_outstanding final : public routing_policy {
public:
    std::optional<std::size_t> choose(const route_query& q) override {
        return least(q, usable_runners(q));
    }

private:
    static std::optional<std::size_t> least(const route_query& q,
                                            const std::vector<std::size_t>& candidates) {
        std::optional<std::size_t> best;
        std::uint64_t ties = 0;
        for (const std::size_t index : candidates) {
            const std::uint32_t outstanding = q.table.at(index).outstanding;
            if (!best || outstanding < q.table.at(*best).outstanding) {
                best = index;
                ties = 1;
            } else if (outstanding == q.table.at(*best).outstanding &&
                       q.random.below(++ties) == 0) {
                best = index;
            }
        }
        return best;
    }
};

const policy_registration registration("least_outstanding", [](const policy_setup&) {
    return std::make_unique<least_outstanding>();
});

} // namespace

} // namespace buckthornspar::routing
