#include "core/common/rng.h"
#include "core/placement/quota_ledger.h"
#include "core/placement/scorer.h"

#include <memory>

namespace buckthornspar::placement {

namespace {

/// Maximum number of random draws before the shard is scanned from a random position.
constexpr int max_draws = 32;

/// Baseline: the less loaded of two random workers that can take the demand.
class two_choices final : public scorer {
public:
    explicit two_choices(std::uint64_t seed) : m_random(seed) {}

    void worker_changed(const worker_table& /*workers*/, worker_index /*worker*/) override {}

    [[nodiscard]] std::optional<worker_index> choose(const worker_table& workers,
                                                     const resources& demand,
                                                     const worker_filter* filter,
                                                     search_effort effort) override {
        if (workers.size() == 0) {
            return std::nullopt;
        }
        std::optional<worker_index> found;
        for (int draw = 0; draw < max_draws; ++draw) {
            const auto worker = static_cast<worker_index>(m_random.below(workers.size()));
            if (!workers[worker].can_take(demand) || (filter && !filter->accepts(worker))) {
                continue;
            }
            if (found) {
                return load(workers[worker]) < load(workers[*found]) ? worker : found;
            }
            found = worker;
        }
        if (found || effort == search_effort::bounded) {
            return found;
        }
        return scan(workers, demand, filter);
    }

private:
    static double load(const worker_entry& worker) {
        return dominant_share(worker.allocated, worker.info.capacity);
    }

    std::optional<worker_index> scan(const worker_table& workers, const resources& demand,
                                     const worker_filter* filter) {
        const std::size_t start = m_random.below(workers.size());
        for (std::size_t i = 0; i < workers.size(); ++i) {
            const auto worker = static_cast<worker_index>((start + i) % workers.size());
            if (workers[worker].can_take(demand) && (!filter || filter->accepts(worker))) {
                return worker;
            }
        }
        return std::nullopt;
    }

    common::rng m_random;
};

const scorer_registration registration("two_choices", [](std::uint64_t seed) {
    return std::make_unique<two_choices>(seed);
});

} // namespace

} // namespace buckthornspar::placement
