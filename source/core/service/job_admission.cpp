#include "core/service/job_admission.h"

#include <algorithm>

namespace buckthornspar::service {

namespace {

// Part of the limit that a node may take before the first report of an owner.
constexpr std::int64_t initial_divisor = 16;

} // namespace

job_admission::job_admission(std::int64_t limit)
    : m_limit(limit), m_left(limit / initial_divisor) {}

bool job_admission::admit(std::int64_t bytes) {
    if (m_limit == 0) {
        return true;
    }
    if (bytes > m_left) {
        return false;
    }
    m_left -= bytes;
    return true;
}

std::int64_t headroom_of_node(std::int64_t smallest_limit, std::int64_t used, std::size_t nodes) {
    const auto free = std::max<std::int64_t>(0, smallest_limit - used);
    return free / static_cast<std::int64_t>(std::max<std::size_t>(1, nodes));
}

} // namespace buckthornspar::service
