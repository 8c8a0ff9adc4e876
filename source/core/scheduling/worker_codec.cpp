#include "core/scheduling/worker_codec.h"

#include "core/common/error.h"
#include "core/scheduling/json_fields.h"

#include <boost/json.hpp>

namespace buckthornspar::scheduling {

namespace json = boost::json;

namespace {

std::uint64_t read_unsigned(const json::object& object, std::string_view key) {
    const std::int64_t value = read_int(object, key);
    if (value < 0) {
        throw common::format_error("'" + std::string(key) + "' is negative");
    }
    return static_cast<std::uint64_t>(value);
}

json::object operation_json(const worker_operation& operation) {
    json::object object{
        {"op", to_string(operation.op)}, {"attempt", operation.attempt}, {"task", operation.task}};
    if (operation.op == worker_op::start || operation.op == worker_op::reserve) {
        object["demand"] = resources_json(operation.demand);
    }
    if (operation.op == worker_op::start) {
        object["payload"] =
            json::object{{"run_ms", operation.payload.run_ms}, {"fail", operation.payload.fail}};
    }
    if (!operation.reservation.empty()) {
        object["reservation"] = operation.reservation;
    }
    return object;
}

worker_operation read_operation(const json::value& value) {
    const auto& object = as_object(value, "operation");
    worker_operation operation;
    operation.op = worker_op_of(read_text(object, "op"));
    operation.attempt = read_text(object, "attempt");
    operation.task = read_text(object, "task", "");
    operation.demand = read_resources(object, "demand");
    operation.reservation = read_text(object, "reservation", "");
    if (const auto* const payload = object.if_contains("payload")) {
        const auto& fields = as_object(*payload, "payload");
        operation.payload.run_ms = read_int(fields, "run_ms", 0);
        operation.payload.fail = read_bool(fields, "fail", false);
    }
    return operation;
}

json::array ended_json(const std::vector<ended_attempt>& ended) {
    json::array array;
    for (const auto& item : ended) {
        array.push_back(json::object{{"task", item.task},
                                     {"attempt", item.attempt},
                                     {"outcome", to_string(item.outcome)},
                                     {"started", item.started},
                                     {"exit_code", item.exit_code}});
    }
    return array;
}

std::vector<ended_attempt> read_ended(const json::object& object) {
    std::vector<ended_attempt> ended;
    for (const auto& value : read_array(object, "ended")) {
        const auto& fields = as_object(value, "ended");
        ended_attempt item;
        item.task = read_text(fields, "task");
        item.attempt = read_text(fields, "attempt");
        item.outcome = attempt_outcome_of(read_text(fields, "outcome"));
        item.started = read_bool(fields, "started", true);
        item.exit_code = static_cast<int>(read_int(fields, "exit_code", 0));
        ended.push_back(std::move(item));
    }
    return ended;
}

json::array usage_json(const std::vector<usage_report>& usage) {
    json::array array;
    for (const auto& item : usage) {
        array.push_back(json::object{{"task", item.task},
                                     {"attempt", item.attempt},
                                     {"used", resources_json(item.used)},
                                     {"age_ms", item.age_ms}});
    }
    return array;
}

std::vector<usage_report> read_usage(const json::object& object) {
    std::vector<usage_report> usage;
    for (const auto& value : read_array(object, "usage")) {
        const auto& fields = as_object(value, "usage");
        usage.push_back({read_text(fields, "task"), read_text(fields, "attempt"),
                         read_resources(fields, "used"),
                         static_cast<std::int64_t>(read_unsigned(fields, "age_ms"))});
    }
    return usage;
}

} // namespace

std::string to_json(const adopt_request& request) {
    return json::serialize(
        json::object{{"shard", request.shard}, {"epoch", request.epoch}, {"owner", request.owner}});
}

std::string to_json(const sync_request& request) {
    json::array operations;
    for (const auto& operation : request.operations) {
        operations.push_back(operation_json(operation));
    }
    return json::serialize(json::object{{"shard", request.shard},
                                        {"epoch", request.epoch},
                                        {"owner", request.owner},
                                        {"stamp_ms", request.stamp_ms},
                                        {"incarnation", request.incarnation},
                                        {"lease_ms", request.lease_ms},
                                        {"start_validity_ms", request.start_validity_ms},
                                        {"renew", request.renew},
                                        {"acknowledge", json::value_from(request.acknowledge)},
                                        {"operations", std::move(operations)}});
}

std::string to_json(const sync_response& response) {
    json::array results;
    for (const auto& result : response.results) {
        results.push_back(json::object{{"attempt", result.attempt},
                                       {"status", to_string(result.status)},
                                       {"reason", to_string(result.reason)}});
    }
    return json::serialize(json::object{{"stamp_ms", response.stamp_ms},
                                        {"incarnation", response.incarnation},
                                        {"results", std::move(results)},
                                        {"ended", ended_json(response.ended)},
                                        {"usage", usage_json(response.usage)}});
}

std::string to_json(const events_response& response) {
    return json::serialize(json::object{{"stamp_ms", response.stamp_ms},
                                        {"incarnation", response.incarnation},
                                        {"next", response.next},
                                        {"ended", ended_json(response.ended)},
                                        {"usage", usage_json(response.usage)}});
}

std::string to_json(const worker_inventory& inventory) {
    json::array tasks;
    for (const auto& task : inventory.tasks) {
        tasks.push_back(json::object{{"task", task.task},
                                     {"attempt", task.attempt},
                                     {"state", to_string(task.state)},
                                     {"demand", resources_json(task.demand)},
                                     {"lease_end_ms", task.lease_end_ms}});
    }
    return json::serialize(json::object{{"worker", inventory.worker},
                                        {"incarnation", inventory.incarnation},
                                        {"stamp_ms", inventory.stamp_ms},
                                        {"accepted_epoch", inventory.accepted_epoch},
                                        {"state", to_string(inventory.state)},
                                        {"capacity", resources_json(inventory.capacity)},
                                        {"tasks", std::move(tasks)},
                                        {"ended", ended_json(inventory.ended)}});
}

adopt_request read_adopt_request(std::string_view body) {
    const auto value = parse_json(body);
    const auto& object = as_object(value, "body");
    return {read_text(object, "shard"), read_unsigned(object, "epoch"), read_text(object, "owner")};
}

sync_request read_sync_request(std::string_view body) {
    const auto value = parse_json(body);
    const auto& object = as_object(value, "body");
    sync_request request;
    request.shard = read_text(object, "shard");
    request.epoch = read_unsigned(object, "epoch");
    request.owner = read_text(object, "owner");
    request.stamp_ms = read_int(object, "stamp_ms");
    request.incarnation = read_unsigned(object, "incarnation");
    request.lease_ms = read_int(object, "lease_ms");
    request.start_validity_ms = read_int(object, "start_validity_ms");
    request.renew = read_bool(object, "renew", false);
    for (const auto& item : read_array(object, "acknowledge")) {
        if (!item.is_string()) {
            throw common::format_error("'acknowledge' is not an array of strings");
        }
        request.acknowledge.emplace_back(item.get_string().c_str());
    }
    for (const auto& item : read_array(object, "operations")) {
        request.operations.push_back(read_operation(item));
    }
    return request;
}

sync_response read_sync_response(std::string_view body) {
    const auto value = parse_json(body);
    const auto& object = as_object(value, "body");
    sync_response response;
    response.stamp_ms = read_int(object, "stamp_ms");
    response.incarnation = read_unsigned(object, "incarnation");
    for (const auto& item : read_array(object, "results")) {
        const auto& fields = as_object(item, "result");
        response.results.push_back({read_text(fields, "attempt"),
                                    operation_status_of(read_text(fields, "status")),
                                    operation_reason_of(read_text(fields, "reason", "none"))});
    }
    response.ended = read_ended(object);
    response.usage = read_usage(object);
    return response;
}

events_response read_events_response(std::string_view body) {
    const auto value = parse_json(body);
    const auto& object = as_object(value, "body");
    return {read_int(object, "stamp_ms"), read_unsigned(object, "incarnation"),
            read_unsigned(object, "next"), read_ended(object), read_usage(object)};
}

worker_inventory read_inventory(std::string_view body) {
    const auto value = parse_json(body);
    const auto& object = as_object(value, "body");
    worker_inventory inventory;
    inventory.worker = read_text(object, "worker");
    inventory.incarnation = read_unsigned(object, "incarnation");
    inventory.stamp_ms = read_int(object, "stamp_ms");
    inventory.accepted_epoch = read_unsigned(object, "accepted_epoch");
    inventory.state = worker_availability_of(read_text(object, "state"));
    inventory.capacity = read_resources(object, "capacity");
    for (const auto& item : read_array(object, "tasks")) {
        const auto& fields = as_object(item, "task");
        inventory.tasks.push_back({read_text(fields, "task"), read_text(fields, "attempt"),
                                   inventory_task_state_of(read_text(fields, "state")),
                                   read_resources(fields, "demand"),
                                   read_int(fields, "lease_end_ms")});
    }
    inventory.ended = read_ended(object);
    return inventory;
}

std::string rejection_json(const worker_error& error) {
    return json::serialize(
        json::object{{"error", json::object{{"type", to_string(error.kind)}, {"detail", ""}}},
                     {"accepted_epoch", error.accepted_epoch}});
}

worker_error read_rejection(std::string_view body) {
    try {
        const auto value = parse_json(body);
        const auto& object = as_object(value, "body");
        const auto& error = as_object(object.at("error"), "error");
        const std::string type = read_text(error, "type");
        if (type == to_string(worker_error_kind::stale_epoch)) {
            return {worker_error_kind::stale_epoch, read_unsigned(object, "accepted_epoch")};
        }
        if (type == to_string(worker_error_kind::stale_incarnation)) {
            return {worker_error_kind::stale_incarnation, 0};
        }
    } catch (const std::exception&) {
        return {worker_error_kind::bad_answer, 0};
    }
    return {worker_error_kind::bad_answer, 0};
}

} // namespace buckthornspar::scheduling
