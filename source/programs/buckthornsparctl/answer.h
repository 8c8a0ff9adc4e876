#pragma once

#include "core/net/http_client.h"
#include "programs/buckthornsparctl/commands.h"

namespace buckthornspar::ctl {

/// Exit codes beyond common::exit_code, as listed by --help.
enum class result_code : int {
    done = 0,
    refused = 1,
    unreachable = 4,
    outcome_unknown = 5,
    not_run = 6,
};

/// Prints the response to standard output, or the error to standard error. With as_json, the body
/// of a response is printed unchanged to standard output, regardless of its status.
[[nodiscard]] result_code print_answer(const ctl_call& call, const net::http_result& result,
                                       bool as_json);

} // namespace buckthornspar::ctl
