#include "quota_messages.h"

namespace buckthornspar::scheduler {

namespace {

using scheduling_kind = scheduling::quota_message_kind;
using peer_kind = peer::quota_message_kind;

// The kinds are converted by number.
static_assert(static_cast<int>(scheduling_kind::statement) ==
              static_cast<int>(peer_kind::statement));
static_assert(static_cast<int>(scheduling_kind::grant) == static_cast<int>(peer_kind::grant));
static_assert(static_cast<int>(scheduling_kind::query) == static_cast<int>(peer_kind::query));

peer::amount to_amount(const placement::resources& amount) {
    return {amount.cpu_milli, amount.memory_mb, amount.accelerators};
}

placement::resources to_resources(const peer::amount& amount) {
    return {amount.cpu_milli, amount.memory_mb, amount.accelerators};
}

} // namespace

peer::quota_message to_peer(const scheduling::quota_message& message) {
    peer::quota_message result;
    result.kind = static_cast<peer_kind>(message.kind);
    result.team = message.team;
    result.from_shard = message.from_shard;
    result.from_epoch = message.from_epoch;
    result.to_shard = message.to_shard;
    result.to_epoch = message.to_epoch;
    result.sequence = message.sequence;
    result.answers = message.answers;
    result.amount = to_amount(message.amount);
    result.wanted = to_amount(message.wanted);
    result.least = to_amount(message.least);
    result.quota = to_amount(message.quota);
    result.recall = message.recall;
    result.reply = message.reply;
    return result;
}

scheduling::quota_message from_peer(const peer::quota_message& message) {
    scheduling::quota_message result;
    result.kind = static_cast<scheduling_kind>(message.kind);
    result.team = message.team;
    result.from_shard = message.from_shard;
    result.from_epoch = message.from_epoch;
    result.to_shard = message.to_shard;
    result.to_epoch = message.to_epoch;
    result.sequence = message.sequence;
    result.answers = message.answers;
    result.amount = to_resources(message.amount);
    result.wanted = to_resources(message.wanted);
    result.least = to_resources(message.least);
    result.quota = to_resources(message.quota);
    result.recall = message.recall;
    result.reply = message.reply;
    return result;
}

} // namespace buckthornspar::scheduler
