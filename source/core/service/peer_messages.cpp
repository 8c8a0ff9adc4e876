#include "core/service/peer_messages.h"

#include "core/common/error.h"

#include <boost/json.hpp>

#include <algorithm>

namespace buckthornspar::service {

using namespace dispatch;
namespace json = boost::json;

namespace {

json::value parse(std::string_view text) {
    return json::parse(json::string_view(text.data(), text.size()));
}

common::duration read_ms(const json::object& object, json::string_view key) {
    return std::chrono::milliseconds(object.at(key).to_number<std::uint32_t>());
}

// Clocks of workers count milliseconds since 1970 or since their start; sums with a value within
// this range do not overflow.
constexpr std::int64_t max_clock_ms = std::int64_t{1} << 50U;

std::int64_t read_clock(const json::object& object, json::string_view key) {
    const auto value = object.at(key).to_number<std::int64_t>();
    if (value < 0 || value > max_clock_ms) {
        throw common::format_error("field '" + std::string(key) + "' is out of range");
    }
    return value;
}

// Calls of the advice service take seconds. A call that is never answered keeps its connection for
// a multiple of the time that the message names.
constexpr common::duration max_expected_time = std::chrono::minutes(1);

json::array write_run(const run_key& run) {
    return {run.task.job, run.task.occurrence, run.task.step, run.task.index, run.run};
}

run_key read_run(const json::array& row) {
    run_key run;
    run.task.job = json::value_to<std::string>(row.at(0));
    run.task.occurrence = row.at(1).to_number<std::uint32_t>();
    run.task.step = row.at(2).to_number<std::uint32_t>();
    run.task.index = row.at(3).to_number<std::uint32_t>();
    run.run = row.at(4).to_number<std::uint32_t>();
    return run;
}

json::array write_capability(const node_capability& node) {
    return {node.cpu_share, node.link_mbps, node.memory, node.max_fds};
}

node_capability read_capability(const json::array& row) {
    node_capability node;
    node.cpu_share = row.at(0).to_number<double>();
    node.link_mbps = row.at(1).to_number<double>();
    node.memory = row.at(2).to_number<std::int64_t>();
    node.max_fds = row.at(3).to_number<std::int64_t>();
    if (node.cpu_share < 0.0 || node.link_mbps < 0.0 || node.memory < 0 || node.max_fds < 0) {
        throw common::format_error("a negative capability");
    }
    return node;
}

} // namespace

std::string write_changes_request(const changes_request& request) {
    json::object object{{"node", request.node},
                        {"address", net::to_string(request.address)},
                        {"fence", request.fence},
                        {"after", request.after}};
    if (!request.follow.empty()) {
        object["follow"] = json::value_from(request.follow);
    }
    if (request.job_limit != 0) {
        object["job_limit"] = request.job_limit;
    }
    if (request.capability) {
        object["capability"] = write_capability(*request.capability);
        object["may_claim"] = request.may_claim;
    }
    return json::serialize(object);
}

changes_request read_changes_request(std::string_view text) {
    return common::read_document("request for changes", [&] {
        const auto value = parse(text);
        const auto& object = value.as_object();
        changes_request request;
        request.node = json::value_to<std::string>(object.at("node"));
        request.address = net::parse_endpoint(json::value_to<std::string>(object.at("address")));
        request.fence = object.at("fence").to_number<std::uint64_t>();
        request.after = object.at("after").to_number<std::uint64_t>();
        if (const auto* const follow = object.if_contains("follow")) {
            request.follow = json::value_to<std::vector<std::string>>(*follow);
        }
        if (const auto* const limit = object.if_contains("job_limit")) {
            request.job_limit = limit->to_number<std::int64_t>();
        }
        if (const auto* const capability = object.if_contains("capability")) {
            request.capability = read_capability(capability->as_array());
            request.may_claim = object.at("may_claim").as_bool();
        }
        return request;
    });
}

std::string write_changes_response(const changes_response& response) {
    json::array rows;
    for (const auto& change : response.changes) {
        json::array row{change.job, change.queue, job_state_names.name(change.state)};
        if (!change.customer.empty()) {
            row.push_back(json::string(change.customer));
        }
        rows.push_back(std::move(row));
    }
    json::object object{{"next", response.next}, {"changes", std::move(rows)}};
    if (response.pending) {
        object["pending"] = json::value_from(response.pending->counts);
        object["pending_age_ms"] = common::to_milliseconds(response.pending->age);
        object["held_ms"] = common::to_milliseconds(response.held);
        object["fleet"] =
            json::array{response.pending->fleet.workers, response.pending->fleet.jobs};
    }
    if (response.headroom) {
        object["headroom"] = *response.headroom;
    }
    return json::serialize(object);
}

changes_response read_changes_response(std::string_view text) {
    return common::read_document("response with changes", [&] {
        const auto value = parse(text);
        const auto& object = value.as_object();
        changes_response response;
        response.next = object.at("next").to_number<std::uint64_t>();
        for (const auto& row : object.at("changes").as_array()) {
            const auto& fields = row.as_array();
            response.changes.push_back(
                {json::value_to<std::string>(fields.at(0)),
                 json::value_to<std::string>(fields.at(1)),
                 job_state_names.value(json::value_to<std::string>(fields.at(2))), "",
                 fields.size() > 3 ? json::value_to<std::string>(fields.at(3)) : std::string()});
        }
        if (const auto* const pending = object.if_contains("pending")) {
            response.pending.emplace();
            response.pending->counts = json::value_to<pending_counts>(*pending);
            response.pending->age = read_ms(object, "pending_age_ms");
            response.held = read_ms(object, "held_ms");
            if (const auto* const fleet = object.if_contains("fleet")) {
                const auto& row = fleet->as_array();
                response.pending->fleet = {row.at(0).to_number<std::size_t>(),
                                           row.at(1).to_number<std::size_t>()};
            }
        }
        if (const auto* const headroom = object.if_contains("headroom")) {
            response.headroom = headroom->to_number<std::int64_t>();
        }
        return response;
    });
}

std::string write_state_request(const state_request& request) {
    return json::serialize(
        json::object{{"node", request.node}, {"fence", request.fence}, {"job", request.job}});
}

state_request read_state_request(std::string_view text) {
    return common::read_document("request for a state", [&] {
        const auto value = parse(text);
        const auto& object = value.as_object();
        state_request request;
        request.node = json::value_to<std::string>(object.at("node"));
        request.fence = object.at("fence").to_number<std::uint64_t>();
        request.job = json::value_to<std::string>(object.at("job"));
        return request;
    });
}

std::string write_state_response(const known_state& known) {
    json::object object{{"state", job_state_names.name(known.state)}};
    if (!known.origin.customer.empty()) {
        object["queue"] = known.origin.queue;
        object["customer"] = known.origin.customer;
    }
    return json::serialize(object);
}

known_state read_state_response(std::string_view text) {
    return common::read_document("response with a state", [&] {
        const auto value = parse(text);
        const auto& object = value.as_object();
        known_state known;
        known.state = job_state_names.value(json::value_to<std::string>(object.at("state")));
        // Owners of earlier versions know no customers.
        if (const auto* const customer = object.if_contains("customer")) {
            known.origin = {json::value_to<std::string>(object.at("queue")),
                            json::value_to<std::string>(*customer)};
        }
        return known;
    });
}

std::string write_worker_poll_request(const worker_poll_request& request) {
    return json::serialize(json::object{{"worker", request.order.worker},
                                        {"address", net::to_string(request.worker_address)},
                                        {"fence", request.order.fence},
                                        {"ends_saved", request.order.ends_saved},
                                        {"valid_until_ms", request.order.valid_until_ms}});
}

worker_poll_request read_worker_poll_request(std::string_view text) {
    return common::read_document("request to poll a worker", [&] {
        const auto value = parse(text);
        const auto& object = value.as_object();
        worker_poll_request request;
        request.worker_address =
            net::parse_endpoint(json::value_to<std::string>(object.at("address")));
        request.order.worker = json::value_to<std::string>(object.at("worker"));
        request.order.fence = object.at("fence").to_number<std::uint64_t>();
        request.order.ends_saved = object.at("ends_saved").to_number<std::uint64_t>();
        request.order.valid_until_ms = object.at("valid_until_ms").to_number<std::int64_t>();
        return request;
    });
}

std::string write_advice_call(const relayed_advice_call& call) {
    const auto& step = call.request.step;
    const auto expected = std::min(call.expected, max_expected_time);
    return json::serialize(json::object{{"job", step.job},
                                        {"occurrence", step.occurrence},
                                        {"step", step.step},
                                        {"expected_ms", common::to_milliseconds(expected)},
                                        {"workers", json::value_from(call.request.workers)}});
}

relayed_advice_call read_advice_call(std::string_view text) {
    return common::read_document("request to call the advice service", [&] {
        const auto value = parse(text);
        const auto& object = value.as_object();
        relayed_advice_call call;
        call.request.step.job = json::value_to<std::string>(object.at("job"));
        call.request.step.occurrence = object.at("occurrence").to_number<std::uint32_t>();
        call.request.step.step = object.at("step").to_number<std::uint32_t>();
        call.request.workers = json::value_to<std::vector<std::string>>(object.at("workers"));
        call.expected = read_ms(object, "expected_ms");
        if (call.expected > max_expected_time) {
            throw common::format_error("field 'expected_ms' is out of range");
        }
        return call;
    });
}

std::string write_poll_result(const poll_result& result) {
    json::array running;
    for (const auto& entry : result.running) {
        running.push_back(json::array{write_run(entry.run), entry.checkpoint, entry.percent});
    }
    json::array ended;
    for (const auto& entry : result.ended) {
        ended.push_back(json::array{write_run(entry.run), entry.number,
                                    run_end_names.name(entry.how), entry.checkpoint});
    }
    return json::serialize(json::object{{"status", order_status_names.name(result.status)},
                                        {"clock", result.clock_ms},
                                        {"start_time_ms", result.start_time_ms},
                                        {"running", std::move(running)},
                                        {"ended", std::move(ended)}});
}

poll_result read_poll_result(std::string_view text) {
    return common::read_document("result of a poll", [&] {
        const auto value = parse(text);
        const auto& object = value.as_object();
        poll_result result;
        result.status = order_status_names.value(json::value_to<std::string>(object.at("status")));
        result.clock_ms = read_clock(object, "clock");
        result.start_time_ms = read_clock(object, "start_time_ms");
        for (const auto& entry : object.at("running").as_array()) {
            const auto& row = entry.as_array();
            result.running.push_back({read_run(row.at(0).as_array()),
                                      json::value_to<std::string>(row.at(1)),
                                      row.at(2).to_number<int>()});
        }
        for (const auto& entry : object.at("ended").as_array()) {
            const auto& row = entry.as_array();
            result.ended.push_back({row.at(1).to_number<std::uint64_t>(),
                                    read_run(row.at(0).as_array()),
                                    run_end_names.value(json::value_to<std::string>(row.at(2))),
                                    json::value_to<std::string>(row.at(3))});
        }
        return result;
    });
}

} // namespace buckthornspar::service
