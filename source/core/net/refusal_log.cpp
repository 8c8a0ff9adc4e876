#include "core/net/refusal_log.h"

#include "core/common/logging.h"
#include "core/common/name_table.h"

namespace buckthornspar::net {

namespace {

constexpr auto line_interval = std::chrono::seconds(10);

constexpr common::name_table<refusal_reason, refusal_reasons> reason_names{
    "refusal reason",
    {"body_too_large", "header_too_large", "chunk_overhead", "too_slow", "memory_full",
     "connections_full", "response_not_read", "stopping", "response_too_large"}};

} // namespace

std::string_view to_string(refusal_reason reason) {
    return reason_names.name(reason);
}

void refusal_log::note(refusal_reason reason) {
    m_counters.get("messages_refused_total", "reason", to_string(reason)).add();
    auto& state = m_unreported.at(static_cast<std::size_t>(reason));
    ++state.refusals;
    const auto now = std::chrono::steady_clock::now();
    if (state.logged && now - state.last_line < line_interval) {
        return;
    }
    common::log_event(common::severity::warning, "messages_refused",
                      {{"reason", to_string(reason)}, {"messages", state.refusals}});
    state = {0, now, true};
}

} // namespace buckthornspar::net
