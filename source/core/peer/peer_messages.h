#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornspar::peer {

/// The sender of a message and the configuration version in force in it.
struct sender {
    std::string id;
    std::string role;
    std::uint64_t config_version = 0;
};

/// Load of one shard, as reported by its owner.
struct shard_load {
    std::string shard;
    std::uint64_t epoch = 0;
    std::uint64_t free_cpu_milli = 0;
    std::uint64_t free_memory_mb = 0;
    std::uint64_t free_accelerators = 0;
    std::uint64_t pending_tasks = 0;
};

struct heartbeat {
    sender from;
    /// Shards that the sender owns; empty for roles other than scheduler.
    std::vector<shard_load> shards;
    bool draining = false;
};

enum class job_operation { submit, status, explain, cancel };

/// A call about one job. job_or_id is the JSON of the job for submit, otherwise the id of the job.
struct job_call {
    job_operation operation = job_operation::status;
    sender from;
    /// Home shard of the job according to the sender.
    std::string shard;
    std::string job_or_id;
    /// submit only: how long the caller waits, in milliseconds.
    std::uint32_t deadline_ms = 0;
};

enum class reply_status {
    ok,
    not_owner, ///< another scheduler owns the shard; see owner_hint
    refused,   ///< refused with an error type; the call had no effect
    not_found,
    not_sent,  ///< the call was not sent and cannot have been executed
    no_answer, ///< outcome unknown: the peer may have executed the call
};

[[nodiscard]] std::string_view to_string(reply_status status);

struct job_reply {
    reply_status status = reply_status::ok;
    /// JSON response body; empty unless the status is ok.
    std::string body;
    std::string error_type;
    std::string error_detail;
    std::string error_field;
    std::string owner_hint;
    std::uint64_t config_version = 0;
};

/// One record of the configuration log; body is JSON.
struct config_record {
    std::uint64_t version = 0;
    std::string body;
};

struct config_records {
    std::vector<config_record> records;
    std::uint64_t in_force = 0;
};

/// Number of slots of a service that the sender could use now. Sent between entries.
struct slot_demand {
    std::string service;
    std::string region;
    double wanted = 0;
};

struct slot_count {
    std::string runner;
    std::uint32_t slots = 0;
};

/// Slots on the sender's runners that the receiver may use. Sent between entries.
struct slot_grant {
    std::string service;
    std::vector<slot_count> counts;
};

struct amount {
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    bool operator==(const amount&) const = default;
};

enum class quota_message_kind { statement, grant, query };

/// Message about the quota of one team between the owners of two shards. The fields are described
/// at scheduling::quota_message.
struct quota_message {
    quota_message_kind kind = quota_message_kind::statement;
    std::string team;
    std::string from_shard;
    std::uint64_t from_epoch = 0;
    std::string to_shard;
    std::uint64_t to_epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t answers = 0;
    peer::amount amount;
    peer::amount wanted;
    peer::amount least;
    peer::amount quota;
    bool recall = false;
    bool reply = false;
    bool operator==(const quota_message&) const = default;
};

} // namespace buckthornspar::peer
