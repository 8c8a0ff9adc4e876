#pragma once

#include "core/peer/peer_messages.h"

#include <functional>

namespace buckthornspar::peer {

/// Handles calls from other processes, on the peer thread. Each completion must be called at most
/// once, from any thread. A role overrides the calls that it serves; the default implementations
/// refuse job calls with the error type wrong_role and ignore or answer the others with no data.
class peer_handler {
public:
    virtual ~peer_handler() = default;

    virtual void on_heartbeat(const heartbeat& message,
                              std::function<void(heartbeat)> complete) = 0;
    virtual void on_job_call(job_call call, std::function<void(job_reply)> complete);
    virtual void on_config_since(const sender& from, std::uint64_t version,
                                 std::function<void(config_records)> complete);
    /// Completes with the version in force after the records have been applied.
    virtual void on_config_announced(const sender& from, std::vector<config_record> records,
                                     std::function<void(std::uint64_t)> complete);
    virtual void on_slot_demand(const sender& /*from*/, const slot_demand& /*demand*/) {}
    virtual void on_slot_grant(const sender& /*from*/, const slot_grant& /*grant*/) {}
    virtual void on_quota_messages(const sender& /*from*/,
                                   const std::vector<quota_message>& /*messages*/) {}

protected:
    peer_handler() = default;
    peer_handler(const peer_handler&) = default;
    peer_handler& operator=(const peer_handler&) = default;
};

} // namespace buckthornspar::peer
