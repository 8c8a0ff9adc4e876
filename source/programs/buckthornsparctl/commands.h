#pragma once

#include "core/common/command_line.h"
#include "core/net/http_message.h"

#include <string>
#include <vector>

namespace buckthornspar::ctl {

[[nodiscard]] std::vector<common::option_spec> options();

/// Text of --help after the program's name: the commands and the exit codes.
[[nodiscard]] std::string usage();

struct ctl_call {
    net::http_request request;
    /// Id of the job, request or patch, for repeating the call; empty if there is none or if a file
    /// contains it.
    std::string id;
};

/// Builds the HTTP request of the command in the operands. Throws common::command_line_error if the
/// command is unknown or incomplete.
[[nodiscard]] ctl_call make_call(const common::command_line& line);

} // namespace buckthornspar::ctl
