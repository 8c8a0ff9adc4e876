#include "core/placement/scorer.h"

#include <memory>

namespace buckthornspar::placement {

namespace {

/// Baseline: the first worker in order of arrival that can take the demand. Scans the shard.
class first_fit final : public scorer {
public:
    void worker_changed(const worker_table& /*workers*/, worker_index /*worker*/) override {}

    [[nodiscard]] std::optional<worker_index> choose(const worker_table& workers,
                                                     const resources& demand,
                                                     const worker_filter* filter,
                                                     search_effort /*effort*/) override {
        for (worker_index worker = 0; worker < workers.size(); ++worker) {
            if (workers[worker].can_take(demand) && (!filter || filter->accepts(worker))) {
                return worker;
            }
        }
        return std::nullopt;
    }
};

const scorer_registration registration("first_fit", [](std::uint64_t /*seed*/) {
    return std::make_unique<first_fit>();
});

} // namespace

} // namespace buckthornspar::placement
