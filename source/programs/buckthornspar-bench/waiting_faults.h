#pragma once

#include "cell_simulation.h"
#include "waiting_workload.h"

#include <string_view>
#include <vector>

namespace buckthornspar::bench {

/// Inputs of a simulation that a fault may modify before the run.
struct fault_context {
    cell_simulation& cell;
    std::vector<waiting_task>& tasks;
    /// Separate from the generator of the workload, so that the workload is the same for each
    /// fault.
    common::rng random;
    double peak_s = 0;
    std::size_t failures = 0;
    common::duration adoption{0};
    store_model store{};
};

/// A fault that occurs at the peak of an arrival pattern.
struct waiting_fault {
    std::string_view name;
    void (*apply)(fault_context& context);
};

/// Throws bench_settings_error for an unknown name.
[[nodiscard]] const waiting_fault& find_fault(std::string_view name);

} // namespace buckthornspar::bench
