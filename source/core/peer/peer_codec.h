#pragma once

#include "core/peer/peer.capnp.h"
#include "core/peer/peer_messages.h"

namespace buckthornspar::peer {

// Conversion between the message structs and their Cap'n Proto representation.

[[nodiscard]] sender decode(schema::Sender::Reader reader);
void encode(const sender& value, schema::Sender::Builder builder);

[[nodiscard]] heartbeat decode(schema::Heartbeat::Reader reader);
void encode(const heartbeat& value, schema::Heartbeat::Builder builder);

[[nodiscard]] job_reply decode(schema::Reply::Reader reader);
void encode(const job_reply& value, schema::Reply::Builder builder);

[[nodiscard]] std::vector<config_record> decode(capnp::List<schema::ConfigRecord>::Reader reader);
void encode(const std::vector<config_record>& value,
            capnp::List<schema::ConfigRecord>::Builder builder);

[[nodiscard]] slot_demand decode(schema::SlotDemand::Reader reader);
void encode(const slot_demand& value, schema::SlotDemand::Builder builder);

[[nodiscard]] slot_grant decode(schema::SlotGrant::Reader reader);
void encode(const slot_grant& value, schema::SlotGrant::Builder builder);

[[nodiscard]] std::vector<quota_message> decode(capnp::List<schema::QuotaMessage>::Reader reader);
void encode(const std::vector<quota_message>& value,
            capnp::List<schema::QuotaMessage>::Builder builder);

} // namespace buckthornspar::peer
