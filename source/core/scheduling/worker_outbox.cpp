#include "core/scheduling/worker_outbox.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthornspar::scheduling {

namespace {

bool uses_resources(const worker_operation& operation) {
    return operation.op == worker_op::start || operation.op == worker_op::reserve;
}

} // namespace

bool worker_outbox::remove_queued(const std::string& attempt) {
    return std::erase_if(m_operations, [&](const worker_operation& operation) {
               return operation.attempt == attempt && uses_resources(operation);
           }) > 0;
}

std::vector<worker_operation> worker_outbox::take_operations(std::size_t limit) {
    std::stable_partition(m_operations.begin(), m_operations.end(),
                          [](const worker_operation& o) { return !uses_resources(o); });
    const auto count = static_cast<std::ptrdiff_t>(std::min(limit, m_operations.size()));
    const auto end = m_operations.begin() + count;
    std::vector<worker_operation> taken(std::make_move_iterator(m_operations.begin()),
                                        std::make_move_iterator(end));
    m_operations.erase(m_operations.begin(), end);
    return taken;
}

std::vector<std::string> worker_outbox::take_acknowledged() {
    return std::exchange(m_acknowledge, {});
}

} // namespace buckthornspar::scheduling
