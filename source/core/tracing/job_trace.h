#pragma once

#include "core/common/name_table.h"

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::tracing {

/// One line of a process's log.
struct log_line {
    /// Text of the time field: ISO 8601 with microseconds.
    std::string time;
    /// Microseconds since the start of that day.
    std::int64_t time_us = 0;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;

    /// Empty when the field is absent.
    [[nodiscard]] std::string field(std::string_view name) const;
};

/// Parses "... time=T level=L process=P event=E key=value ...". Empty for lines without a time or
/// an event.
[[nodiscard]] std::optional<log_line> parse_line(std::string_view line);

/// Why a request waited or failed.
enum class cause {
    none,
    refused,         ///< a node refused the call
    outcome_unknown, ///< the store did not respond
    no_owner,        ///< no node owned the service, or the owner was still recovering
    tickets,         ///< the advice service had not responded
    room,            ///< no granted worker had enough free resources
    work,            ///< the tasks ran
    failed_run,      ///< a run failed and was retried
    lost_worker,     ///< a run or a start was lost with its worker
    start_refused,   ///< a worker refused a start
    cancelled,       ///< by the customer
    attempts,        ///< the job failed as often as its queue allows
    recording,       ///< the end of the job was being recorded
};
inline constexpr common::name_table<cause, 13> cause_names{
    "cause",
    {"none", "refused", "outcome_unknown", "no_owner", "tickets", "room", "work", "failed_run",
     "lost_worker", "start_refused", "cancelled", "attempts", "recording"}};

struct traced_event {
    log_line line;
    /// Time since the previous event.
    std::int64_t wait_us = 0;
    /// What that time was spent on.
    cause reason = cause::none;
};

struct job_trace {
    std::string job;
    /// Events of the job, and service events that explain its waits, ordered by time.
    std::vector<traced_event> events;
    /// The longest wait.
    std::int64_t longest_us = 0;
    cause longest = cause::none;
    /// Why the job was refused, failed or cancelled; none for one that completed or still runs.
    cause outcome = cause::none;
    std::string outcome_detail;
};

/// Builds the trace of a job from the logs of any number of processes, in any order.
[[nodiscard]] job_trace trace_job(const std::string& job, std::istream& logs);

void print_text(const job_trace& trace, std::ostream& out);
void print_json(const job_trace& trace, std::ostream& out);

} // namespace buckthornspar::tracing
