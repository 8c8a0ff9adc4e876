#pragma once

#include <cstddef>
#include <cstdint>

namespace buckthornspar::service {

/// Decides whether a node may accept a further job. All jobs that have not ended are in the memory
/// of the node that owns the service, and each node may become its owner. The owner reports how
/// much each node may still accept; until the next report a node accepts no more than that.
class job_admission {
public:
    /// limit is the memory that this node has for jobs, in bytes; 0 for no limit.
    explicit job_admission(std::int64_t limit);

    [[nodiscard]] std::int64_t limit() const { return m_limit; }
    /// Takes the memory of a job; false, without any effect, when it is not available.
    [[nodiscard]] bool admit(std::int64_t bytes);
    /// Returns the memory of a job that was not stored.
    void give_back(std::int64_t bytes) { m_left += bytes; }
    /// Memory that this node may still take, as reported by the owner.
    void set_headroom(std::int64_t bytes) { m_left = bytes; }

private:
    std::int64_t m_limit = 0;
    std::int64_t m_left = 0;
};

/// The part of the memory for jobs that each of the nodes may still take, given the smallest limit
/// of a node.
[[nodiscard]] std::int64_t headroom_of_node(std::int64_t smallest_limit, std::int64_t used,
                                            std::size_t nodes);

} // namespace buckthornspar::service
