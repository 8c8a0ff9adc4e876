#pragma once

#include "core/scheduling/worker_messages.h"

#include <string>
#include <string_view>

namespace buckthornspar::scheduling {

/// JSON bodies of the worker protocol (docs/platform-contract.md). The readers throw
/// common::format_error or common::unknown_name_error for an invalid body.
[[nodiscard]] std::string to_json(const adopt_request& request);
[[nodiscard]] std::string to_json(const sync_request& request);
[[nodiscard]] std::string to_json(const sync_response& response);
[[nodiscard]] std::string to_json(const events_response& response);
[[nodiscard]] std::string to_json(const worker_inventory& inventory);

[[nodiscard]] adopt_request read_adopt_request(std::string_view body);
[[nodiscard]] sync_request read_sync_request(std::string_view body);
[[nodiscard]] sync_response read_sync_response(std::string_view body);
[[nodiscard]] events_response read_events_response(std::string_view body);
[[nodiscard]] worker_inventory read_inventory(std::string_view body);

/// Body of a 409 or 410 response: {"error":{"type","detail"},"accepted_epoch"}.
[[nodiscard]] std::string rejection_json(const worker_error& error);

/// Reads the body of a 409 or 410 response; an invalid body gives bad_answer.
[[nodiscard]] worker_error read_rejection(std::string_view body);

} // namespace buckthornspar::scheduling
