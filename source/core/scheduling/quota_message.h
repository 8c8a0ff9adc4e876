#pragma once

#include "core/common/clock.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <string>

namespace buckthornspar::scheduling {

enum class quota_message_kind {
    statement, ///< a holder to the home shard: what it holds and would use
    grant,     ///< the home shard to a holder: what it may hold
    query,     ///< the home shard to a holder: asks for a statement
};

/// Message between the owners of two shards about the quota of one team. Amounts are totals, so
/// that a message replaces all earlier ones of its direction.
struct quota_message {
    quota_message_kind kind = quota_message_kind::statement;
    std::string team;
    std::string from_shard;
    std::uint64_t from_epoch = 0;
    std::string to_shard;
    /// 0 when the sender does not know the epoch.
    std::uint64_t to_epoch = 0;
    /// Number of the statement or grant; 0 for a query and for an answer without a grant.
    std::uint64_t sequence = 0;
    /// Highest number received from the other side under these epochs.
    std::uint64_t answers = 0;
    /// Statement: the larger of limit and use. Grant: the limit of the holder.
    placement::resources amount;
    /// Statement only: what running and waiting tasks need together, and what the running tasks
    /// and the first waiting one need.
    placement::resources wanted;
    placement::resources least;
    /// Grant only: the quota from which it was made; zero while not all parts are known.
    placement::resources quota;
    /// Grant only: the limit must not rise to the amount.
    bool recall = false;
    /// The sender repeats the message until a statement answers it, or, for a statement after a
    /// lowering, until a grant names the lowered quota.
    bool reply = false;
};

struct outgoing_quota_message {
    quota_message message;
    /// The former one was not answered in time, so that its receiver may have been replaced.
    bool repeated = false;
};

/// What a team uses in a shard and what its tasks need that wait for the quota.
struct quota_need {
    placement::resources used;
    placement::resources waiting;
    /// The smallest amount with which one of the waiting tasks can start.
    placement::resources next;
};

/// Reasons for which a message is not acted on.
enum class quota_verdict { taken, stale_epoch, stale_sequence, stale_quota };

struct quota_exchange_settings {
    /// A part that was not used for this long is returned.
    common::duration return_after = std::chrono::seconds(2);
    /// Least time between two statements about a team in a shard.
    common::duration min_interval = std::chrono::milliseconds(200);
    /// Time until a message without an answer is repeated; doubles up to the maximum.
    common::duration retry = std::chrono::seconds(1);
    common::duration max_retry = std::chrono::seconds(4);
    /// While tasks wait for the quota, a side that has heard nothing for this long asks again,
    /// because the owner of the other shard may have been replaced.
    common::duration refresh_after = std::chrono::seconds(5);
    /// Wait before asking again for a part that was returned unused; doubles up to the maximum.
    common::duration ask_again = std::chrono::seconds(4);
    common::duration max_ask_again = std::chrono::seconds(64);
};

} // namespace buckthornspar::scheduling
