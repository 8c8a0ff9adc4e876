#include "core/peer/peer_codec.h"

namespace buckthornspar::peer {

namespace {

std::string to_text(capnp::Text::Reader reader) {
    return {reader.begin(), reader.size()};
}

kj::StringPtr to_string_ptr(const std::string& text) {
    return {text.c_str(), text.size()};
}

reply_status decode_status(schema::ReplyStatus status) {
    switch (status) {
    case schema::ReplyStatus::OK:
        return reply_status::ok;
    case schema::ReplyStatus::NOT_OWNER:
        return reply_status::not_owner;
    case schema::ReplyStatus::REFUSED:
        return reply_status::refused;
    case schema::ReplyStatus::NOT_FOUND:
        return reply_status::not_found;
    case schema::ReplyStatus::OUTCOME_UNKNOWN:
        return reply_status::no_answer;
    }
    // A newer peer may send a status that this version does not know.
    return reply_status::no_answer;
}

schema::ReplyStatus encode_status(reply_status status) {
    switch (status) {
    case reply_status::ok:
        return schema::ReplyStatus::OK;
    case reply_status::not_owner:
        return schema::ReplyStatus::NOT_OWNER;
    case reply_status::not_found:
        return schema::ReplyStatus::NOT_FOUND;
    case reply_status::refused:
    case reply_status::not_sent:
        return schema::ReplyStatus::REFUSED;
    case reply_status::no_answer:
        return schema::ReplyStatus::OUTCOME_UNKNOWN;
    }
    return schema::ReplyStatus::REFUSED;
}

shard_load decode_load(schema::ShardLoad::Reader reader) {
    shard_load load;
    load.shard = to_text(reader.getShard());
    load.epoch = reader.getEpoch();
    load.free_cpu_milli = reader.getFreeCpuMilli();
    load.free_memory_mb = reader.getFreeMemoryMb();
    load.free_accelerators = reader.getFreeAccelerators();
    load.pending_tasks = reader.getPendingTasks();
    return load;
}

void encode_load(const shard_load& load, schema::ShardLoad::Builder builder) {
    builder.setShard(to_string_ptr(load.shard));
    builder.setEpoch(load.epoch);
    builder.setFreeCpuMilli(load.free_cpu_milli);
    builder.setFreeMemoryMb(load.free_memory_mb);
    builder.setFreeAccelerators(load.free_accelerators);
    builder.setPendingTasks(load.pending_tasks);
}

amount decode_amount(schema::Amount::Reader reader) {
    return {reader.getCpuMilli(), reader.getMemoryMb(), reader.getAccelerators()};
}

void encode_amount(const amount& value, schema::Amount::Builder builder) {
    builder.setCpuMilli(value.cpu_milli);
    builder.setMemoryMb(value.memory_mb);
    builder.setAccelerators(value.accelerators);
}

// An unknown kind from a newer peer is read as a query, which at most triggers a statement.
quota_message_kind decode_kind(schema::QuotaMessageKind kind) {
    switch (kind) {
    case schema::QuotaMessageKind::STATEMENT:
        return quota_message_kind::statement;
    case schema::QuotaMessageKind::GRANT:
        return quota_message_kind::grant;
    case schema::QuotaMessageKind::QUERY:
        break;
    }
    return quota_message_kind::query;
}

schema::QuotaMessageKind encode_kind(quota_message_kind kind) {
    switch (kind) {
    case quota_message_kind::statement:
        return schema::QuotaMessageKind::STATEMENT;
    case quota_message_kind::grant:
        return schema::QuotaMessageKind::GRANT;
    case quota_message_kind::query:
        break;
    }
    return schema::QuotaMessageKind::QUERY;
}

quota_message decode_quota(schema::QuotaMessage::Reader reader) {
    quota_message message;
    message.kind = decode_kind(reader.getKind());
    message.team = to_text(reader.getTeam());
    message.from_shard = to_text(reader.getFromShard());
    message.from_epoch = reader.getFromEpoch();
    message.to_shard = to_text(reader.getToShard());
    message.to_epoch = reader.getToEpoch();
    message.sequence = reader.getSequence();
    message.answers = reader.getAnswers();
    message.amount = decode_amount(reader.getAmount());
    message.wanted = decode_amount(reader.getWanted());
    message.least = decode_amount(reader.getLeast());
    message.quota = decode_amount(reader.getQuota());
    message.recall = reader.getRecall();
    message.reply = reader.getReply();
    return message;
}

void encode_quota(const quota_message& value, schema::QuotaMessage::Builder builder) {
    builder.setKind(encode_kind(value.kind));
    builder.setTeam(to_string_ptr(value.team));
    builder.setFromShard(to_string_ptr(value.from_shard));
    builder.setFromEpoch(value.from_epoch);
    builder.setToShard(to_string_ptr(value.to_shard));
    builder.setToEpoch(value.to_epoch);
    builder.setSequence(value.sequence);
    builder.setAnswers(value.answers);
    encode_amount(value.amount, builder.initAmount());
    builder.setRecall(value.recall);
    builder.setReply(value.reply);
    // Fields that the kind does not use are omitted, because traffic is billed by volume.
    if (value.kind == quota_message_kind::statement) {
        encode_amount(value.wanted, builder.initWanted());
        encode_amount(value.least, builder.initLeast());
    } else {
        encode_amount(value.quota, builder.initQuota());
    }
}

} // namespace

sender decode(schema::Sender::Reader reader) {
    return {to_text(reader.getId()), to_text(reader.getRole()), reader.getConfigVersion()};
}

void encode(const sender& value, schema::Sender::Builder builder) {
    builder.setId(to_string_ptr(value.id));
    builder.setRole(to_string_ptr(value.role));
    builder.setConfigVersion(value.config_version);
}

heartbeat decode(schema::Heartbeat::Reader reader) {
    heartbeat message;
    message.from = decode(reader.getSender());
    message.draining = reader.getDraining();
    for (const auto load : reader.getShards()) {
        message.shards.push_back(decode_load(load));
    }
    return message;
}

void encode(const heartbeat& value, schema::Heartbeat::Builder builder) {
    encode(value.from, builder.initSender());
    builder.setDraining(value.draining);
    auto shards = builder.initShards(static_cast<unsigned>(value.shards.size()));
    for (unsigned i = 0; i < shards.size(); ++i) {
        encode_load(value.shards[i], shards[i]);
    }
}

job_reply decode(schema::Reply::Reader reader) {
    job_reply reply;
    reply.status = decode_status(reader.getStatus());
    reply.body = to_text(reader.getBody());
    reply.error_type = to_text(reader.getErrorType());
    reply.error_detail = to_text(reader.getErrorDetail());
    reply.error_field = to_text(reader.getErrorField());
    reply.owner_hint = to_text(reader.getOwnerHint());
    reply.config_version = reader.getConfigVersion();
    return reply;
}

void encode(const job_reply& value, schema::Reply::Builder builder) {
    builder.setStatus(encode_status(value.status));
    builder.setBody(to_string_ptr(value.body));
    builder.setErrorType(to_string_ptr(value.error_type));
    builder.setErrorDetail(to_string_ptr(value.error_detail));
    builder.setErrorField(to_string_ptr(value.error_field));
    builder.setOwnerHint(to_string_ptr(value.owner_hint));
    builder.setConfigVersion(value.config_version);
}

std::vector<config_record> decode(capnp::List<schema::ConfigRecord>::Reader reader) {
    std::vector<config_record> records;
    for (const auto record : reader) {
        records.push_back({record.getVersion(), to_text(record.getBody())});
    }
    return records;
}

void encode(const std::vector<config_record>& value,
            capnp::List<schema::ConfigRecord>::Builder builder) {
    for (unsigned i = 0; i < builder.size(); ++i) {
        builder[i].setVersion(value[i].version);
        builder[i].setBody(to_string_ptr(value[i].body));
    }
}

slot_demand decode(schema::SlotDemand::Reader reader) {
    return {to_text(reader.getService()), to_text(reader.getRegion()), reader.getWanted()};
}

void encode(const slot_demand& value, schema::SlotDemand::Builder builder) {
    builder.setService(to_string_ptr(value.service));
    builder.setRegion(to_string_ptr(value.region));
    builder.setWanted(value.wanted);
}

slot_grant decode(schema::SlotGrant::Reader reader) {
    slot_grant grant;
    grant.service = to_text(reader.getService());
    for (const auto count : reader.getCounts()) {
        grant.counts.push_back({to_text(count.getRunner()), count.getSlots()});
    }
    return grant;
}

void encode(const slot_grant& value, schema::SlotGrant::Builder builder) {
    builder.setService(to_string_ptr(value.service));
    auto counts = builder.initCounts(static_cast<unsigned>(value.counts.size()));
    for (unsigned i = 0; i < counts.size(); ++i) {
        counts[i].setRunner(to_string_ptr(value.counts[i].runner));
        counts[i].setSlots(value.counts[i].slots);
    }
}

std::vector<quota_message> decode(capnp::List<schema::QuotaMessage>::Reader reader) {
    std::vector<quota_message> messages;
    messages.reserve(reader.size());
    for (const auto item : reader) {
        messages.push_back(decode_quota(item));
    }
    return messages;
}

void encode(const std::vector<quota_message>& value,
            capnp::List<schema::QuotaMessage>::Builder builder) {
    for (unsigned i = 0; i < builder.size(); ++i) {
        encode_quota(value[i], builder[i]);
    }
}

} // namespace buckthornspar::peer
