#include "core/dispatch/cap_check.h"

#include "core/customers/cap_ledger.h"

namespace buckthornspar::dispatch {

namespace {

std::string describe(const placement::resources& amount) {
    return std::to_string(amount.cpu_milli) + " thousandths of a processor, " +
           std::to_string(amount.memory_mb) + " MB and " + std::to_string(amount.accelerators) +
           " accelerators";
}

} // namespace

std::optional<std::string> find_excess_over_cap(const job_spec& spec,
                                                const placement::resources& cap) {
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        const auto& step = spec.steps[i];
        const std::int64_t count = step.gang ? std::int64_t{step.count} : 1;
        if (!customers::fits_cap(cap, step.allocation(), count)) {
            return "step " + std::to_string(i) + " needs " + std::to_string(count) +
                   " tasks at once, each with " + describe(step.allocation()) +
                   "; the cap of the customer is " + describe(cap) + ", 0 for no limit";
        }
    }
    return std::nullopt;
}

} // namespace buckthornspar::dispatch
