#include "request_reader.h"

#include "core/common/error.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace buckthornspar::entry {

namespace {

using routing::refusal_reason;

constexpr std::size_t max_id_bytes = 200;

bool read_flag(const net::http_fields& fields, std::string_view name, bool& value) {
    const std::string_view text = fields.get(name, "false");
    value = text == "true";
    return value || text == "false";
}

bool is_valid_id(std::string_view text) {
    return !text.empty() && text.size() <= max_id_bytes &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::optional<common::duration> read_deadline(const net::http_fields& fields,
                                              common::duration default_deadline,
                                              common::duration max_deadline) {
    const auto text = fields.find("X-Deadline-Ms");
    if (!text) {
        return std::min(default_deadline, max_deadline);
    }
    std::int64_t value = 0;
    const char* const end = text->data() + text->size();
    const auto result = std::from_chars(text->data(), end, value);
    const auto max_ms = std::chrono::duration_cast<std::chrono::milliseconds>(max_deadline).count();
    if (result.ec != std::errc{} || result.ptr != end || value < 1 || value > max_ms) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

unsigned status_of(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::caller_limit:
        return 429;
    case refusal_reason::deadline_passed:
    case refusal_reason::attempt_unsettled:
    case refusal_reason::repeat_unsettled:
        return 504;
    case refusal_reason::superseded:
    case refusal_reason::fenced:
        return 409;
    case refusal_reason::answer_lost:
    case refusal_reason::runner_restarted:
        return 502;
    default:
        return 503;
    }
}

std::string_view detail_of(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::queue_full:
        return "too many requests are waiting for this service";
    case refusal_reason::caller_limit:
        return "the caller has too many requests in progress";
    case refusal_reason::deadline_unreachable:
        return "the expected wait in the queue exceeds the deadline";
    case refusal_reason::deadline_passed:
        return "the deadline passed before a runner had a free slot";
    case refusal_reason::draining:
        return "the entry is draining; use another one";
    case refusal_reason::no_runner:
        return "no runner of this service is known";
    case refusal_reason::retry_budget:
        return "an attempt failed and the retry budget is exhausted";
    case refusal_reason::superseded:
        return "a repeat of this request at another entry has superseded it";
    case refusal_reason::fenced:
        return "the id has been cancelled at every runner; use a new id";
    case refusal_reason::attempt_unsettled:
        return "the runner did not report before the deadline whether the request ran";
    case refusal_reason::answer_lost:
        return "the request ran, but the runner no longer stores its answer";
    case refusal_reason::runner_restarted:
        return "a runner restarted and may have run the request before the restart";
    case refusal_reason::repeat_unsettled:
        return "not every runner reported whether the earlier request ran";
    case refusal_reason::not_ready:
        return "no configuration version is known yet";
    }
    return "";
}

} // namespace

routing::request read_request(net::http_request& http, const request_settings& settings,
                              common::duration max_deadline, common::time_point now,
                              std::optional<request_problem>& problem) {
    routing::request r;
    const net::http_fields& fields = http.fields;
    r.service = net::path_segments(http.path()).at(2);
    r.id = fields.get("X-Request-Id");
    r.caller = fields.get("X-Caller");
    r.content_type = fields.get("Content-Type");
    if (fields.find("X-Request-Id") && !is_valid_id(r.id)) {
        problem = {"must be 1 to 200 printable characters without spaces", "X-Request-Id"};
    }
    if (!read_flag(fields, "X-Idempotent", r.idempotent)) {
        problem = {"must be true or false", "X-Idempotent"};
    }
    if (!read_flag(fields, "X-Repeat", r.repeat) || (r.repeat && r.id.empty())) {
        problem = {"must be true or false, and true only with X-Request-Id", "X-Repeat"};
    }
    try {
        r.priority = routing::request_class_from(fields.get("X-Class", "normal"));
    } catch (const common::unknown_name_error&) {
        problem = {"must be urgent, normal or bulk", "X-Class"};
    }
    const auto deadline = read_deadline(fields, settings.default_deadline, max_deadline);
    if (!deadline) {
        problem = {"must be a number of milliseconds from 1 to the longest deadline",
                   "X-Deadline-Ms"};
    }
    r.deadline = now + deadline.value_or(common::duration(0));
    r.body = std::make_shared<const std::string>(std::move(http.body));
    return r;
}

net::http_response to_response(routing::caller_answer answer, const std::string& request_id) {
    net::http_response response;
    if (answer.reason) {
        const std::string_view outcome = routing::to_string(answer.outcome);
        const std::string_view reason = routing::to_string(*answer.reason);
        response = net::json_response(
            status_of(*answer.reason),
            boost::json::serialize(boost::json::object{
                {"outcome", outcome}, {"reason", reason}, {"detail", detail_of(*answer.reason)}}));
    } else {
        response.status = answer.status;
        response.body = std::move(answer.body);
        if (!answer.content_type.empty()) {
            response.fields.set("Content-Type", answer.content_type);
        }
        response.fields.set("X-Runner", answer.runner);
    }
    response.fields.set("X-Outcome", routing::to_string(answer.outcome));
    response.fields.set("X-Request-Id", request_id);
    return response;
}

} // namespace buckthornspar::entry
