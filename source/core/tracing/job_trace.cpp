#include "core/tracing/job_trace.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iomanip>
#include <istream>
#include <ostream>
#include <set>

namespace buckthornspar::tracing {

namespace json = boost::json;

namespace {

// Events without a job id that can explain the waits of any job.
constexpr std::array<std::string_view, 6> service_events{
    "owner_won", "owner_lost", "owner_begins", "recovered", "store_lost", "store_regained"};

bool is_service_event(std::string_view event) {
    return std::find(service_events.begin(), service_events.end(), event) != service_events.end();
}

// Reads the value at the position, unquoted or quoted with backslash escapes, and advances the
// position past it.
std::string read_value(std::string_view line, std::size_t& position) {
    std::string value;
    if (position < line.size() && line[position] == '"') {
        ++position;
        while (position < line.size() && line[position] != '"') {
            position += line[position] == '\\' ? 1U : 0U;
            if (position < line.size()) {
                value.push_back(line[position++]);
            }
        }
        ++position;
        return value;
    }
    while (position < line.size() && line[position] != ' ') {
        value.push_back(line[position++]);
    }
    return value;
}

std::int64_t parse_digits(std::string_view text) {
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

// Parses the time of day of, for example, "2026-09-08T06:16:10.643962".
std::int64_t microseconds_of_day(std::string_view time) {
    constexpr std::size_t full_length = 26;
    if (time.size() < full_length) {
        return 0;
    }
    const auto hours = parse_digits(time.substr(11, 2));
    const auto minutes = parse_digits(time.substr(14, 2));
    const auto seconds = parse_digits(time.substr(17, 2));
    return ((hours * 60 + minutes) * 60 + seconds) * 1'000'000 + parse_digits(time.substr(20, 6));
}

std::string job_id_of(const log_line& line) {
    for (const auto* const name : {"job", "task", "step"}) {
        const auto value = line.field(name);
        if (!value.empty()) {
            return value.substr(0, value.find('.'));
        }
    }
    return {};
}

// What the time before the event was spent on.
cause cause_of(const log_line& line) {
    const auto& event = line.event;
    if (event == "tickets_granted") {
        return cause::tickets;
    }
    if (event == "start" || event == "tickets_asked") {
        return cause::room;
    }
    if (event == "start_refused") {
        return cause::start_refused;
    }
    if (event == "run_lost" || event == "start_lost") {
        return cause::lost_worker;
    }
    if (event == "run_ended") {
        const auto how = line.field("how");
        if (how == "failed") {
            return cause::failed_run;
        }
        return how == "lapsed" ? cause::lost_worker : cause::work;
    }
    if (event == "job_ended") {
        return line.field("reason") == "cancel_request" ? cause::cancelled : cause::recording;
    }
    if (is_service_event(event) || event == "run_adopted") {
        return cause::no_owner;
    }
    return cause::none;
}

void update_outcome(job_trace& trace, const log_line& line) {
    if (line.event == "call_answered" && line.field("call") == "submit") {
        const auto outcome = line.field("outcome");
        const bool refused = outcome == "refused";
        trace.outcome = refused                ? cause::refused
                        : outcome == "unknown" ? cause::outcome_unknown
                                               : cause::none;
        trace.outcome_detail = trace.outcome == cause::none ? "" : line.field("reason");
    }
    if (line.event == "job_ended") {
        const auto state = line.field("state");
        trace.outcome = state == "failed"      ? cause::attempts
                        : state == "cancelled" ? cause::cancelled
                                               : cause::none;
        trace.outcome_detail = trace.outcome == cause::none ? "" : line.field("reason");
    }
}

std::vector<log_line> read_lines(const std::string& job, std::istream& logs) {
    std::vector<log_line> lines;
    std::string text;
    while (std::getline(logs, text)) {
        auto line = parse_line(text);
        if (line && (job_id_of(*line) == job || is_service_event(line->event))) {
            lines.push_back(std::move(*line));
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const log_line& a, const log_line& b) { return a.time < b.time; });
    return lines;
}

} // namespace

std::string log_line::field(std::string_view name) const {
    const auto position = fields.find(name);
    return position == fields.end() ? std::string() : position->second;
}

std::optional<log_line> parse_line(std::string_view line) {
    auto position = line.find("time=");
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    log_line result;
    while (position < line.size()) {
        const auto equals = line.find('=', position);
        if (equals == std::string_view::npos) {
            break;
        }
        const auto name = std::string(line.substr(position, equals - position));
        position = equals + 1;
        result.fields[name] = read_value(line, position);
        while (position < line.size() && line[position] == ' ') {
            ++position;
        }
    }
    result.time = result.field("time");
    result.time_us = microseconds_of_day(result.time);
    result.event = result.field("event");
    if (result.event.empty()) {
        return std::nullopt;
    }
    return result;
}

job_trace trace_job(const std::string& job, std::istream& logs) {
    job_trace trace;
    trace.job = job;
    const auto lines = read_lines(job, logs);
    const auto is_own = [&job](const log_line& line) { return job_id_of(line) == job; };
    const auto first = std::find_if(lines.begin(), lines.end(), is_own);
    const auto last = std::find_if(lines.rbegin(), lines.rend(), is_own).base();
    std::int64_t before = first == lines.end() ? 0 : first->time_us;
    for (auto line = first; line != lines.end() && line < last; ++line) {
        traced_event event{*line, line->time_us - before, cause_of(*line)};
        before = line->time_us;
        if (event.wait_us > trace.longest_us) {
            trace.longest_us = event.wait_us;
            trace.longest = event.reason;
        }
        update_outcome(trace, *line);
        trace.events.push_back(std::move(event));
    }
    return trace;
}

void print_text(const job_trace& trace, std::ostream& out) {
    if (trace.events.empty()) {
        out << "no line names " << trace.job << "\n";
        return;
    }
    constexpr double us_per_ms = 1000.0;
    for (const auto& event : trace.events) {
        out << event.line.time << std::fixed << std::setprecision(1) << std::setw(10)
            << static_cast<double>(event.wait_us) / us_per_ms << " ms  " << event.line.event;
        for (const auto& [name, value] : event.line.fields) {
            if (name != "time" && name != "level" && name != "event" && name != "job") {
                out << " " << name << "=" << value;
            }
        }
        out << "\n";
    }
    out << "longest wait: " << static_cast<double>(trace.longest_us) / us_per_ms << " ms, "
        << cause_names.name(trace.longest) << "\n";
    if (trace.outcome != cause::none) {
        out << "outcome: " << cause_names.name(trace.outcome) << " (" << trace.outcome_detail
            << ")\n";
    }
}

void print_json(const job_trace& trace, std::ostream& out) {
    json::array events;
    for (const auto& event : trace.events) {
        json::object fields;
        for (const auto& [name, value] : event.line.fields) {
            fields[name] = value;
        }
        events.push_back(json::object{{"wait_us", event.wait_us},
                                      {"cause", cause_names.name(event.reason)},
                                      {"line", std::move(fields)}});
    }
    out << json::serialize(json::object{{"job", trace.job},
                                        {"events", std::move(events)},
                                        {"longest_us", trace.longest_us},
                                        {"longest", cause_names.name(trace.longest)},
                                        {"outcome", cause_names.name(trace.outcome)},
                                        {"detail", trace.outcome_detail}})
        << "\n";
}

} // namespace buckthornspar::tracing
