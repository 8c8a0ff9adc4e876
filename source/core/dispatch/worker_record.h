#pragma once

#include "core/common/clock.h"
#include "core/dispatch/worker_registry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::dispatch {

/// A run that may have crashed an unresponsive worker, which was in this incarnation.
struct recorded_suspect {
    std::string worker;
    std::int64_t start_time_ms = 0;
    suspected_run suspect;
};

/// Stored for the owner's successor: the workers that may hold runs of the owner, and of which both
/// owners need a majority. It contains only workers that have answered an owner.
struct worker_record {
    /// Number of the owner's term, from 1.
    std::uint32_t term = 0;
    /// Only id, service, address and start_time_ms are stored; start_time_ms is 0 when it is
    /// uncertain which incarnation holds the runs.
    std::vector<worker_report> workers;
    /// Workers from the list above that did not respond to the owner. The owner starts nothing on
    /// them once this record is stored, so only the jobs in jobs_on_unresponsive_workers can have
    /// runs there.
    std::set<std::string> unresponsive_workers;
    std::set<std::string> jobs_on_unresponsive_workers;
    /// Customers of these runs; their jobs may have ended meanwhile.
    std::set<std::string> customers_on_unresponsive_workers;
    /// Workers from the list above that have not answered the owner, and for how long runs may
    /// still exist there from now on. The owner sends them no lease and no start before a record
    /// without them is stored, so that the wait for them goes on under its successor.
    std::map<std::string, common::duration> remaining_waits;
    /// Runs whose crashes the owner has not counted yet, because the lease of the worker has not
    /// ended.
    std::vector<recorded_suspect> suspects;
    /// Runs that no worker has reported may exist, of any earlier term: a worker was given up.
    bool unreported_runs = false;
    /// Owners that may have authority (dispatcher_settings::owner): the one that wrote the record,
    /// and its predecessors until theirs has ended. Absent when some are unknown.
    std::optional<std::set<std::string>> owners;
    /// Workers from the list above of which a majority is needed in place of all of them: those of
    /// the former owner's record, as long as that owner may still have its majority.
    std::optional<std::set<std::string>> quorum;

    [[nodiscard]] std::set<std::string> quorum_or_all() const;
};

[[nodiscard]] std::string write_worker_record(const worker_record& record);
/// Returns an empty record for an empty text. Throws common::format_error.
[[nodiscard]] worker_record read_worker_record(std::string_view text);

} // namespace buckthornspar::dispatch
