#pragma once

#include "core/peer/peer.capnp.h"
#include "core/peer/peer_handler.h"

namespace buckthornspar::peer {

/// Cap'n Proto service that forwards incoming calls to a peer_handler.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor): Cap'n Proto owns its servers.
class peer_service final : public schema::Peer::Server {
public:
    explicit peer_service(peer_handler& handler) : m_handler(handler) {}

protected:
    kj::Promise<void> heartbeat(HeartbeatContext context) override;
    kj::Promise<void> submitJob(SubmitJobContext context) override;
    kj::Promise<void> jobStatus(JobStatusContext context) override;
    kj::Promise<void> explainJob(ExplainJobContext context) override;
    kj::Promise<void> cancelJob(CancelJobContext context) override;
    kj::Promise<void> configSince(ConfigSinceContext context) override;
    kj::Promise<void> announceConfig(AnnounceConfigContext context) override;
    kj::Promise<void> slotDemand(SlotDemandContext context) override;
    kj::Promise<void> slotGrant(SlotGrantContext context) override;
    kj::Promise<void> quotaMessages(QuotaMessagesContext context) override;

private:
    peer_handler& m_handler;
};

} // namespace buckthornspar::peer
