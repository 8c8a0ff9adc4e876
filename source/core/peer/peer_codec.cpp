#include "core/peer/peer_codec.h"

namespace buckthornspar::peer {

namespace {

std::string to_text(capnp::Text::Reader reader) {
    return {reader.begin(), reader.size()};
}

kj::StringPtr to_ptr(const std::string& text) {
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
    builder.setShard(to_ptr(load.shard));
    builder.setEpoch(load.epoch);
    builder.setFreeCpuMilli(load.free_cpu_milli);
    builder.setFreeMemoryMb(load.free_memory_mb);
    builder.setFreeAccelerators(load.free_accelerators);
    builder.setPendingTasks(load.pending_tasks);
}

} // namespace

sender decode(schema::Sender::Reader reader) {
    return {to_text(reader.getId()), to_text(reader.getRole()), reader.getConfigVersion()};
}

void encode(const sender& value, schema::Sender::Builder builder) {
    builder.setId(to_ptr(value.id));
    builder.setRole(to_ptr(value.role));
    builder.setConfigVersion(value.config_version);
}

heartbeat decode(schema::Heartbeat::Reader reader) {
    heartbeat beat;
    beat.from = decode(reader.getSender());
    beat.draining = reader.getDraining();
    for (const auto load : reader.getShards()) {
        beat.shards.push_back(decode_load(load));
    }
    return beat;
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
    builder.setBody(to_ptr(value.body));
    builder.setErrorType(to_ptr(value.error_type));
    builder.setErrorDetail(to_ptr(value.error_detail));
    builder.setErrorField(to_ptr(value.error_field));
    builder.setOwnerHint(to_ptr(value.owner_hint));
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
        builder[i].setBody(to_ptr(value[i].body));
    }
}

slot_demand decode(schema::SlotDemand::Reader reader) {
    return {to_text(reader.getService()), to_text(reader.getRegion()), reader.getWanted()};
}

void encode(const slot_demand& value, schema::SlotDemand::Builder builder) {
    builder.setService(to_ptr(value.service));
    builder.setRegion(to_ptr(value.region));
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
    builder.setService(to_ptr(value.service));
    auto counts = builder.initCounts(static_cast<unsigned>(value.counts.size()));
    for (unsigned i = 0; i < counts.size(); ++i) {
        counts[i].setRunner(to_ptr(value.counts[i].runner));
        counts[i].setSlots(value.counts[i].slots);
    }
}

} // namespace buckthornspar::peer
