#include "waiting_faults.h"

#include "benchmark.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace buckthornspar::bench {

namespace {

/// How long before and after the peak faults that last begin.
constexpr double around_peak_s = 30;
constexpr auto outage_of_worker = std::chrono::seconds(60);
constexpr auto outage_of_rack = std::chrono::seconds(120);
constexpr double declaration_factor = 4;
constexpr auto suspicion = std::chrono::seconds(3);

common::time_point at_seconds(double seconds) {
    return common::time_point{from_seconds(seconds)};
}

void none(fault_context& /*context*/) {}

void returning(fault_context& c) {
    for (std::size_t i = 0; i < c.failures; ++i) {
        const double at = c.peak_s + (2 * c.random.unit() - 1) * around_peak_s;
        c.cell.add_failure(at_seconds(at), failure_extent::worker, outage_of_worker);
    }
}

void rack(fault_context& c) {
    c.cell.add_failure(at_seconds(c.peak_s), failure_extent::rack, outage_of_rack);
}

void bad_worker(fault_context& c) {
    c.cell.add_faulty_worker(at_seconds(c.peak_s - around_peak_s));
}

void wrong_declarations(fault_context& c) {
    misdeclare(c.tasks, c.random, declaration_factor);
}

void cancellations(fault_context& c) {
    constexpr double after_peak_s = 5;
    constexpr std::size_t one_of = 3;
    c.cell.add_cancellations(at_seconds(c.peak_s + after_peak_s), one_of);
}

void slow_store(fault_context& c) {
    c.store.slow = {at_seconds(c.peak_s - around_peak_s), at_seconds(c.peak_s + around_peak_s)};
}

void store_down(fault_context& c) {
    // Just before the peak, so that the whole burst arrives during the outage.
    constexpr double before_peak_s = 2;
    constexpr double outage_s = 30;
    c.store.down = {at_seconds(c.peak_s - before_peak_s),
                    at_seconds(c.peak_s - before_peak_s + outage_s)};
}

void owner_dies(fault_context& c) {
    c.cell.add_owner_loss(at_seconds(c.peak_s), suspicion + c.adoption);
}

constexpr waiting_fault faults[] = {{"none", &none},
                                    {"returning", &returning},
                                    {"rack", &rack},
                                    {"bad_worker", &bad_worker},
                                    {"wrong_declarations", &wrong_declarations},
                                    {"cancellations", &cancellations},
                                    {"slow_store", &slow_store},
                                    {"store_down", &store_down},
                                    {"owner_dies", &owner_dies}};

} // namespace

const waiting_fault& find_fault(std::string_view name) {
    const auto* position = std::find_if(std::begin(faults), std::end(faults),
                                        [&](const waiting_fault& f) { return f.name == name; });
    if (position == std::end(faults)) {
        throw bench_settings_error("no fault is named '" + std::string(name) + "'");
    }
    return *position;
}

} // namespace buckthornspar::bench
