#pragma once

#include "cell_simulation.h"
#include "waiting_workload.h"

#include <string_view>
#include <vector>

namespace buckthornspar::bench {

/// What a fault may change before a run.
struct fault_context {
    cell_simulation& cell;
    std::vector<waiting_task>& tasks;
    /// Not the numbers of the workload, which is the same for each fault.
    common::rng random;
    double peak_s = 0;
    std::size_t failures = 0;
    common::duration adoption{0};
    store_model store{};
};

/// A fault at the peak of a pattern.
struct waiting_fault {
    std::string_view name;
    void (*apply)(fault_context& context);
};

/// Throws bench_settings_error.
[[nodiscard]] const waiting_fault& find_fault(std::string_view name);

} // namespace buckthornspar::bench
