#include "core/peer/peer_messages.h"

#include "core/common/name_table.h"

namespace buckthornspar::peer {

namespace {

constexpr common::name_table<reply_status, 6> status_names{
    "reply status", {"ok", "not_owner", "refused", "not_found", "not_sent", "no_answer"}};

} // namespace

std::string_view to_string(reply_status status) {
    return status_names.name(status);
}

} // namespace buckthornspar::peer
