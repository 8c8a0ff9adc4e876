#pragma once

#include "core/placement/scorer.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace buckthornspar::placement {

/// The scorers of the workload kinds. Kinds that use the same scorer share one instance.
class scorer_set {
public:
    /// All kinds initially use this scorer. Throws unknown_name_error when it is not registered.
    scorer_set(const std::string& name, std::uint64_t seed);

    /// Throws unknown_name_error without any change when the scorer is not registered.
    void use(workload_kind kind, const std::string& name, const worker_table& workers);

    [[nodiscard]] scorer& of(workload_kind kind) const {
        return *m_by_kind[static_cast<std::size_t>(kind)]->second;
    }

    /// Called after each change of a worker's free resources or state.
    void worker_changed(const worker_table& workers, worker_index worker);

private:
    using scorer_map = std::map<std::string, std::unique_ptr<scorer>>;

    scorer_map::iterator add(const std::string& name);
    void drop_unused();

    std::uint64_t m_seed;
    scorer_map m_scorers;
    std::array<scorer_map::iterator, workload_kind_names.size()> m_by_kind;
};

} // namespace buckthornspar::placement
