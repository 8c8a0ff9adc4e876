#include "core/placement/bucket_scorer.h"

#include <memory>

namespace buckthornspar::placement {

namespace {

double score(const fit& f) {
    return f.cpu_left() * f.cpu_left() + f.memory_left() * f.memory_left();
}

const scorer_registration registration("best_fit", [](std::uint64_t /*seed*/) {
    return std::make_unique<bucket_scorer>(&score);
});

} // namespace

} // namespace buckthornspar::placement
