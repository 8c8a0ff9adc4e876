#include "slot_messages.h"

#include "core/peer/peer_node.h"
#include "core/server/cluster_member.h"

#include <utility>

namespace buckthornspar::entry {

namespace {

peer::slot_demand to_peer(const routing::slot_demand& demand) {
    return {demand.service, demand.region, demand.wanted};
}

peer::slot_grant to_peer(const routing::slot_grant& grant) {
    peer::slot_grant result;
    result.service = grant.service;
    for (const auto& count : grant.counts) {
        result.counts.push_back({count.runner, count.slots});
    }
    return result;
}

} // namespace

routing::peer_message from_peer(const peer::sender& from, const peer::slot_demand& demand) {
    return {from.id, routing::slot_demand{demand.service, demand.region, demand.wanted}};
}

routing::peer_message from_peer(const peer::sender& from, const peer::slot_grant& grant) {
    routing::slot_grant result;
    result.service = grant.service;
    for (const auto& count : grant.counts) {
        result.counts.push_back({count.runner, count.slots});
    }
    return {from.id, std::move(result)};
}

void send_to_peer(server::cluster_member& member, const routing::peer_message& message) {
    for (const auto& p : member.tracker().peers()) {
        if (p.id != message.entry) {
            continue;
        }
        if (const auto* demand = std::get_if<routing::slot_demand>(&message.content)) {
            member.node().send_slot_demand(p.address, member.self(), to_peer(*demand));
        } else if (const auto* grant = std::get_if<routing::slot_grant>(&message.content)) {
            member.node().send_slot_grant(p.address, member.self(), to_peer(*grant));
        }
        return;
    }
}

} // namespace buckthornspar::entry
