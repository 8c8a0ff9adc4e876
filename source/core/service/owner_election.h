#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/common/rng.h"
#include "core/dispatch/shared_store.h"
#include "core/net/endpoint.h"
#include "core/net/event_loop.h"
#include "core/service/prefix_watcher.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace buckthornspar::service {

/// Who owns the service, as the store says.
struct owner_record {
    std::string node;
    /// Distinguishes the processes that run on a node one after another.
    std::uint64_t process = 0;
    net::endpoint address;
    /// Store revision of the claim; grows from owner to owner.
    std::uint64_t fence = 0;
};

struct election_settings {
    std::string node;
    std::uint64_t process = 0;
    net::endpoint address;
    /// A lost owner is replaced after this time.
    common::duration lease = std::chrono::milliseconds(1200);
    common::duration renewal = std::chrono::milliseconds(350);
    /// A node with little processor time waits this much longer before it claims.
    common::duration claim_delay{0};
};

/// Elects the owner: the holder of a key with a lease in the store. The key says who owns; what an
/// owner may do is decided by the workers, which refuse all but the highest fence.
class owner_election : public std::enable_shared_from_this<owner_election> {
public:
    struct listener {
        std::function<void(const owner_record&)> on_elected;
        std::function<void(std::string_view reason)> on_ownership_lost;
        /// Another node owns the service; empty when none does.
        std::function<void(const std::optional<owner_record>&)> on_owner_changed;
        /// The store has not answered several renewals of this owner.
        std::function<void(const owner_record&)> on_renewals_failing;
    };

    owner_election(dispatch::shared_store& store, net::event_loop& loop, election_settings settings,
                   listener receiver);

    void start();
    /// The owner's key has been seen to change, or a worker has accepted a higher fence.
    void mark_lost(std::string_view reason);
    /// The owner says that it has resigned, or its process has certainly ended: then its key is
    /// replaced without waiting for the end of its lease.
    void on_owner_suspected(const owner_record& owner, bool ended);
    /// Planned stop: gives the ownership up, then calls back.
    void resign(std::function<void()> complete);
    /// The node may take over (it knows the configuration).
    void set_candidate(bool candidate);

    [[nodiscard]] const std::optional<owner_record>& owner() const { return m_owner; }
    [[nodiscard]] bool is_owner() const { return m_is_owner; }

private:
    void on_item(const std::optional<dispatch::store_item>& item);
    [[nodiscard]] bool owned_by_other_node() const;
    void schedule_claim_if_vacant();
    void claim();
    void commit_claim(std::uint64_t lease);
    void renew();

    dispatch::shared_store& m_store;
    net::event_loop& m_loop;
    election_settings m_settings;
    listener m_listener;
    std::shared_ptr<prefix_watcher> m_watcher;
    common::rng m_rng;
    std::optional<owner_record> m_owner;
    /// Revision of the owner's key; 0 when there is none.
    std::uint64_t m_revision = 0;
    std::uint64_t m_lease = 0;
    /// Fence of an ownership that was given up; its key may be in the store for a while.
    std::uint64_t m_lost_fence = 0;
    /// Fence of an owner whose process has certainly ended.
    std::uint64_t m_ended_fence = 0;
    unsigned m_failed_renewals = 0;
    bool m_owner_key_read = false;
    bool m_candidate = false;
    bool m_claim_pending = false;
    bool m_is_owner = false;
    bool m_stopping = false;
};

} // namespace buckthornspar::service
