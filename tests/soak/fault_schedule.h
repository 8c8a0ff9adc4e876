#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::soak {

enum class fault_kind {
    partition_unlisted, ///< owner and a part of the workers apart; the workers' entries end
    partition_listed,   ///< the same, but these workers still reach the store
    store_cut,          ///< the owner does not reach the store
    store_down,         ///< the store refuses all calls or does not respond
    pause,              ///< the owner's process is stopped and continued
    kill,               ///< the owner's process is killed and started again
    silent_workers,     ///< some workers are reached by no node
    worker_crashes,     ///< some workers crash and return under the same id
    key_revoked,        ///< the owner's key is removed
    store_calls_lost,   ///< calls to the store are lost or executed late
    worker_calls_lost,  ///< calls to the workers are lost or executed late
    worker_departures,  ///< most workers leave for good without a report, later others join
    worker_removals,    ///< most workers drain and leave for good, others join
    customer_changes,   ///< a customer gets another cap and another key
};

[[nodiscard]] std::string_view to_string(fault_kind kind);
/// Parses names separated by commas; "all" stands for all kinds. Throws
/// common::unknown_name_error.
[[nodiscard]] std::vector<fault_kind> parse_fault_kinds(const std::string& names);

enum class fault_pace {
    series,      ///< one fault of 12 to 16 s at a time
    overlapping, ///< up to three faults of 1 to 14 s at once, every 2.5 to 9 s
};

/// Throws common::unknown_name_error.
[[nodiscard]] fault_pace fault_pace_from(std::string_view name);

struct planned_fault {
    fault_kind kind = fault_kind::pause;
    std::int64_t at_ms = 0;
    std::int64_t duration_ms = 0;
    /// Seed for the choice of workers and of the form of the fault.
    std::uint64_t seed = 0;
};

/// Draws the faults of a run of the given length. The same arguments yield the same schedule.
[[nodiscard]] std::vector<planned_fault> draw_schedule(std::uint64_t seed, std::int64_t length_ms,
                                                       const std::vector<fault_kind>& kinds,
                                                       fault_pace pace);

[[nodiscard]] std::string describe(const planned_fault& fault);

} // namespace buckthornspar::soak
