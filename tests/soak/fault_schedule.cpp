#include "soak/fault_schedule.h"

#include "core/common/name_table.h"
#include "core/common/rng.h"

#include <algorithm>
#include <sstream>

namespace buckthornspar::soak {

namespace {

constexpr common::name_table<fault_kind, 14> kind_names{
    "kind of fault",
    {"partition-unlisted", "partition-listed", "store-cut", "store-down", "pause", "kill",
     "silent-workers", "worker-crashes", "key-revoked", "store-calls-lost", "worker-calls-lost",
     "worker-departures", "worker-removals", "customer-changes"}};
constexpr common::name_table<fault_pace, 2> pace_names{"pace", {"series", "overlapping"}};

/// Time before the first fault in which the clients fill all workers. A partition of workers
/// without runs shows nothing.
constexpr std::int64_t first_fault_ms = 8000;
/// Time after the last fault in which the ends of the former runs are acknowledged.
constexpr std::int64_t calm_end_ms = 7000;

std::int64_t draw(common::rng& random, std::int64_t from, std::int64_t to) {
    return from + static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(to - from)));
}

planned_fault draw_fault(common::rng& random, const std::vector<fault_kind>& kinds,
                         std::int64_t at_ms, std::int64_t duration_ms) {
    return {kinds[random.below(kinds.size())], at_ms, duration_ms, random.next()};
}

std::vector<planned_fault> draw_series(common::rng& random, std::int64_t end_ms,
                                       const std::vector<fault_kind>& kinds) {
    std::vector<planned_fault> faults;
    std::int64_t at = first_fault_ms;
    while (true) {
        const auto duration = draw(random, 12'000, 16'000);
        if (at + duration > end_ms) {
            return faults;
        }
        faults.push_back(draw_fault(random, kinds, at, duration));
        at += duration + draw(random, 4000, 7000);
    }
}

std::vector<planned_fault> draw_overlapping(common::rng& random, std::int64_t end_ms,
                                            const std::vector<fault_kind>& kinds) {
    std::vector<planned_fault> faults;
    for (auto at = first_fault_ms; at < end_ms; at += draw(random, 2500, 9000)) {
        for (auto count = draw(random, 1, 4); count > 0; --count) {
            const auto duration = std::min(draw(random, 1000, 14'000), end_ms - at);
            faults.push_back(draw_fault(random, kinds, at, duration));
        }
    }
    return faults;
}

} // namespace

std::string_view to_string(fault_kind kind) {
    return kind_names.name(kind);
}

std::vector<fault_kind> parse_fault_kinds(const std::string& names) {
    std::vector<fault_kind> kinds;
    if (names == "all") {
        for (std::size_t i = 0; i < kind_names.size(); ++i) {
            kinds.push_back(static_cast<fault_kind>(i));
        }
        return kinds;
    }
    std::istringstream parts(names);
    for (std::string name; std::getline(parts, name, ',');) {
        kinds.push_back(kind_names.value(name));
    }
    return kinds;
}

fault_pace fault_pace_from(std::string_view name) {
    return pace_names.value(name);
}

std::vector<planned_fault> draw_schedule(std::uint64_t seed, std::int64_t length_ms,
                                         const std::vector<fault_kind>& kinds, fault_pace pace) {
    common::rng random(seed);
    const auto end = length_ms - calm_end_ms;
    return pace == fault_pace::series ? draw_series(random, end, kinds)
                                      : draw_overlapping(random, end, kinds);
}

std::string describe(const planned_fault& fault) {
    std::ostringstream text;
    text << to_string(fault.kind) << " at " << fault.at_ms << " ms for " << fault.duration_ms
         << " ms, seed " << fault.seed;
    return text.str();
}

} // namespace buckthornspar::soak
