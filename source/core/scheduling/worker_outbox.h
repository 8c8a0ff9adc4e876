#pragma once

#include "core/scheduling/worker_messages.h"

#include <cstddef>
#include <string>
#include <vector>

namespace buckthornspar::scheduling {

/// Operations and acknowledgements queued for the next sync message to one worker.
class worker_outbox {
public:
    void add(worker_operation operation) { m_operations.push_back(std::move(operation)); }
    void acknowledge(const std::string& attempt) { m_acknowledge.push_back(attempt); }

    /// Removes the queued start or reservation of the attempt. Returns true if there was one, in
    /// which case the attempt needs no cancellation message.
    [[nodiscard]] bool remove_queued(const std::string& attempt);

    /// Removes and returns up to limit operations. Cancellations, stops and releases come first,
    /// because they free resources that the starts may need.
    [[nodiscard]] std::vector<worker_operation> take_operations(std::size_t limit);
    [[nodiscard]] std::vector<std::string> take_acknowledged();

    [[nodiscard]] bool empty() const { return m_operations.empty() && m_acknowledge.empty(); }
    [[nodiscard]] bool has_operations() const { return !m_operations.empty(); }

private:
    std::vector<worker_operation> m_operations;
    std::vector<std::string> m_acknowledge;
};

} // namespace buckthornspar::scheduling
