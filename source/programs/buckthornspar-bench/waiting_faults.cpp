#include "waiting_faults.h"

#include "benchmark.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace buckthornspar::bench {

namespace {

/// Time before and after the peak in which failures are injected; lasting faults begin this long
/// before the peak.
constexpr double peak_margin_s = 30;
constexpr auto worker_outage = std::chrono::seconds(60);
constexpr auto rack_outage = std::chrono::seconds(120);
constexpr double max_declaration_error = 4;
constexpr auto owner_failure_detection = std::chrono::seconds(3);

common::time_point at_seconds(double seconds) {
    return common::time_point{from_seconds(seconds)};
}

void none(fault_context& /*context*/) {}

void returning(fault_context& c) {
    for (std::size_t i = 0; i < c.failures; ++i) {
        const double at = c.peak_s + (2 * c.random.unit() - 1) * peak_margin_s;
        c.cell.add_failure(at_seconds(at), failure_extent::worker, worker_outage);
    }
}

void rack(fault_context& c) {
    c.cell.add_failure(at_seconds(c.peak_s), failure_extent::rack, rack_outage);
}

void bad_worker(fault_context& c) {
    c.cell.add_faulty_worker(at_seconds(c.peak_s - peak_margin_s));
}

void wrong_declarations(fault_context& c) {
    randomize_declarations(c.tasks, c.random, max_declaration_error);
}

void cancellations(fault_context& c) {
    constexpr double after_peak_s = 5;
    constexpr std::size_t every_nth = 3;
    c.cell.add_cancellations(at_seconds(c.peak_s + after_peak_s), every_nth);
}

void slow_store(fault_context& c) {
    c.store.slow = {at_seconds(c.peak_s - peak_margin_s), at_seconds(c.peak_s + peak_margin_s)};
}

void store_down(fault_context& c) {
    // Starts shortly before the peak, so that the whole burst arrives during the outage.
    constexpr double before_peak_s = 2;
    constexpr double outage_s = 30;
    c.store.down = {at_seconds(c.peak_s - before_peak_s),
                    at_seconds(c.peak_s - before_peak_s + outage_s)};
}

void owner_dies(fault_context& c) {
    c.cell.add_owner_loss(at_seconds(c.peak_s), owner_failure_detection + c.adoption);
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
        throw bench_settings_error("unknown fault '" + std::string(name) + "'");
    }
    return *position;
}

} // namespace buckthornspar::bench
