#include "quota_messages.h"

namespace buckthornspar::scheduler {

namespace {

using scheduling_kind = scheduling::quota_message_kind;
using peer_kind = peer::quota_message_kind;

// Kinds are converted by their numeric value.
static_assert(static_cast<int>(scheduling_kind::statement) ==
              static_cast<int>(peer_kind::statement));
static_assert(static_cast<int>(scheduling_kind::grant) == static_cast<int>(peer_kind::grant));
static_assert(static_cast<int>(scheduling_kind::query) == static_cast<int>(peer_kind::query));

template <typename Target, typename Source>
Target convert_amount(const Source& amount) {
    return {amount.cpu_milli, amount.memory_mb, amount.accelerators};
}

// Both message types have the same fields, so one template converts in both directions.
template <typename Target, typename Source>
Target convert(const Source& message) {
    Target result;
    using amount_type = decltype(result.amount);
    result.kind = static_cast<decltype(result.kind)>(message.kind);
    result.team = message.team;
    result.from_shard = message.from_shard;
    result.from_epoch = message.from_epoch;
    result.to_shard = message.to_shard;
    result.to_epoch = message.to_epoch;
    result.sequence = message.sequence;
    result.answers = message.answers;
    result.amount = convert_amount<amount_type>(message.amount);
    result.wanted = convert_amount<amount_type>(message.wanted);
    result.least = convert_amount<amount_type>(message.least);
    result.quota = convert_amount<amount_type>(message.quota);
    result.recall = message.recall;
    result.reply = message.reply;
    return result;
}

} // namespace

peer::quota_message to_peer(const scheduling::quota_message& message) {
    return convert<peer::quota_message>(message);
}

scheduling::quota_message from_peer(const peer::quota_message& message) {
    return convert<scheduling::quota_message>(message);
}

} // namespace buckthornspar::scheduler
