#pragma once

#include "core/common/clock.h"
#include "core/placement/resources.h"

#include <cstdint>
#include <string>

namespace buckthornspar::scheduling {

enum class quota_message_kind {
    statement, ///< from a holder to the home shard: what it holds and needs
    grant,     ///< from the home shard to a holder: what it may hold
    query,     ///< from the home shard to a holder: requests a statement
};

/// Message between the owners of two shards about the quota of one team. Amounts are totals, so a
/// message supersedes all earlier ones in the same direction.
struct quota_message {
    quota_message_kind kind = quota_message_kind::statement;
    std::string team;
    std::string from_shard;
    std::uint64_t from_epoch = 0;
    std::string to_shard;
    /// 0 if the sender does not know the epoch.
    std::uint64_t to_epoch = 0;
    /// Sequence number of the statement or grant; 0 for a query and for a reply without a grant.
    std::uint64_t sequence = 0;
    /// Highest sequence number received from the other side under these epochs.
    std::uint64_t answers = 0;
    /// Statement: the larger of limit and usage. Grant: the new limit of the holder.
    placement::resources amount;
    /// Statement only: what running and waiting tasks need in total (wanted), and what the running
    /// tasks and the first waiting task need (least).
    placement::resources wanted;
    placement::resources least;
    /// Grant only: the quota that it was computed from; zero while the state of some holder is
    /// unknown.
    placement::resources quota;
    /// Grant only: the amount may lower the limit but not raise it.
    bool recall = false;
    /// The sender repeats the message until it receives a statement or, for a statement sent after
    /// the quota was lowered, until it receives a grant computed from the lowered quota.
    bool reply = false;
};

struct outgoing_quota_message {
    quota_message message;
    /// The previous message was not answered in time, so its receiver may have been replaced.
    bool repeated = false;
};

/// What a team uses in a shard, and what its tasks that wait for quota need.
struct quota_need {
    placement::resources used;
    placement::resources waiting;
    /// The smallest amount with which one of the waiting tasks can start.
    placement::resources next;
};

/// Whether a message was accepted, or why it was ignored.
enum class quota_message_result { accepted, stale_epoch, stale_sequence, stale_quota };

struct quota_exchange_settings {
    /// Quota that was not used for this long is returned to the home shard.
    common::duration return_after = std::chrono::seconds(2);
    /// Minimum time between two statements about a team in a shard.
    common::duration min_interval = std::chrono::milliseconds(200);
    /// Time until an unanswered message is repeated; doubles up to the maximum.
    common::duration retry = std::chrono::seconds(1);
    common::duration max_retry = std::chrono::seconds(4);
    /// While tasks wait for quota, a side that has received nothing for this long sends again,
    /// because the owner of the other shard may have been replaced.
    common::duration refresh_after = std::chrono::seconds(5);
    /// Delay before requesting quota again after it was returned unused; doubles up to the maximum.
    common::duration request_backoff = std::chrono::seconds(4);
    common::duration max_request_backoff = std::chrono::seconds(64);
};

} // namespace buckthornspar::scheduling
