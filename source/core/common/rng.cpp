#include "core/common/rng.h"

#include <cmath>

namespace buckthornspar::common {

double rng::exponential(double mean) {
    return -mean * std::log1p(-unit());
}

} // namespace buckthornspar::common
