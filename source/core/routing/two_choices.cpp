#include "core/routing/routing_policy.h"

#include <utility>

namespace buckthornspar::routing {

namespace {

// Power of two choices: compares two random runners by the load that they reported with their
// responses. When neither is estimated to have a free slot, all candidates are compared.
class two_choices final : public routing_policy {
public:
    std::optional<std::size_t> choose(const route_query& q) override {
        return better_of_two(q, usable_runners(q));
    }

private:
    static std::optional<std::size_t> better_of_two(const route_query& q,
                                                    const std::vector<std::size_t>& candidates) {
        if (candidates.empty()) {
            return std::nullopt;
        }
        const std::size_t first = candidates[q.random.below(candidates.size())];
        const std::size_t second = candidates[q.random.below(candidates.size())];
        const std::uint32_t first_free = q.table.free_estimate(first, q.now);
        const std::uint32_t second_free = q.table.free_estimate(second, q.now);
        if (first_free == 0 && second_free == 0) {
            return pick_most_free(q, candidates);
        }
        return first_free >= second_free ? first : second;
    }
};

const policy_registration registration("two_choices", [](const policy_setup&) {
    return std::make_unique<two_choices>();
});

} // namespace

} // namespace buckthornspar::routing
