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

/// The current owner of the service, as recorded in the store.
struct owner_record {
    std::string node;
    /// Identifies the process; a restarted node has another number.
    std::uint64_t process = 0;
    net::endpoint address;
    /// Fencing token: the store revision of the claim, which increases with every new owner.
    std::uint64_t fence = 0;
};

struct election_settings {
    std::string node;
    std::uint64_t process = 0;
    net::endpoint address;
    /// Time to live of the owner key. An owner that disappears is replaced after this time.
    common::duration lease = std::chrono::milliseconds(1200);
    common::duration renewal = std::chrono::milliseconds(350);
    /// Additional delay before a claim, set on nodes that can carry the fleet only in part.
    common::duration claim_delay{0};
};

/// Leader election through the store: the owner holds a key that is bound to a lease. The key only
/// names the owner. Safety comes from the workers, which reject orders with a lower fence than
/// the highest one they have accepted.
class owner_election : public std::enable_shared_from_this<owner_election> {
public:
    struct listener {
        std::function<void(const owner_record&)> on_elected;
        std::function<void(std::string_view reason)> on_ownership_lost;
        /// The owner key was read or has changed; empty when there is no owner.
        std::function<void(const std::optional<owner_record>&)> on_owner_changed;
        /// Several lease renewals of this owner have failed in a row.
        std::function<void(const owner_record&)> on_renewals_failing;
    };

    owner_election(dispatch::shared_store& store, net::event_loop& loop, election_settings settings,
                   listener receiver);

    void start();
    /// Gives up the ownership locally, whichever term it is.
    void mark_lost(std::string_view reason);
    /// The term with this fence is over: the owner key has changed, or a worker has accepted a
    /// higher fence. A later term of this node goes on.
    void mark_lost(std::string_view reason, std::uint64_t fence);
    /// The owner reports that it has resigned: the owner key is read again. With ended, its process
    /// has certainly ended and its key is replaced without waiting for the lease to expire.
    void on_owner_suspected(const owner_record& owner, bool ended);
    /// The owner with this fence has answered, so that its process has not ended.
    void on_owner_alive(std::uint64_t fence);
    /// Planned stop: ends the lease, if this node is the owner, and then calls back.
    void resign(std::function<void()> complete);
    /// Planned hand-over: ends the term with this fence, and leaves the next claim to other nodes
    /// for some time.
    void hand_over(std::uint64_t fence);
    void set_claim_delay(common::duration delay) { m_settings.claim_delay = delay; }
    /// Whether this node may claim the ownership; it may once it has a configuration.
    void set_candidate(bool candidate);
    /// Whether the owner may decide now. Called before each round of decisions: sends a renewal
    /// that is due, because timers are late in a busy event loop. False after the lease has run out
    /// by this node's clock, until a call to the store shows the ownership or the store does not
    /// respond.
    [[nodiscard]] bool may_act();

    [[nodiscard]] const std::optional<owner_record>& owner() const { return m_owner; }
    [[nodiscard]] bool is_owner() const { return m_is_owner; }

private:
    /// The owner key at the store's given revision; older information is ignored.
    void on_item(const std::optional<dispatch::store_item>& item, std::uint64_t at);
    [[nodiscard]] bool owned_by_other_process() const;
    [[nodiscard]] bool left_by_earlier_process() const;
    void schedule_claim_if_vacant();
    [[nodiscard]] common::duration next_claim_delay();
    /// Removes the key of an earlier process of this node.
    void release_earlier_key();
    void claim();
    void commit_claim(std::uint64_t lease, common::time_point opened_at);
    void begin_renewals();
    void renew_if_due();
    void schedule_renewal(common::time_point due);
    void on_renewal(std::uint64_t lease, common::time_point sent_at,
                    const dispatch::store_result& result);
    void record_failure(common::time_point sent_at);
    void read_owner_key();

    dispatch::shared_store& m_store;
    net::event_loop& m_loop;
    election_settings m_settings;
    listener m_listener;
    common::system_clock m_clock;
    std::shared_ptr<prefix_watcher> m_watcher;
    common::rng m_rng;
    std::optional<owner_record> m_owner;
    /// Revision of the owner key; 0 when there is none.
    std::uint64_t m_revision = 0;
    /// Store revision of the newest information about the key.
    std::uint64_t m_known_at = 0;
    std::uint64_t m_lease = 0;
    common::time_point m_lease_opened_at;
    common::time_point m_next_renewal;
    /// When the last successful renewal was sent.
    common::time_point m_renewed_at;
    /// The lease has certainly not run out before this time.
    common::time_point m_confirmed_until;
    /// Last call that failed within its time limit since the last successful renewal.
    std::optional<common::time_point> m_failed_at;
    /// Fence of the last ownership that was lost; its key can remain in the store until the lease
    /// expires.
    std::uint64_t m_lost_fence = 0;
    /// Fence of the last term. A term that has ended is not taken up again.
    std::uint64_t m_won_fence = 0;
    /// Fence of another owner whose process has certainly ended.
    std::uint64_t m_ended_fence = 0;
    /// Fence of the last key of an earlier process that was released.
    std::uint64_t m_released_fence = 0;
    /// After a hand-over this node makes no claim before this time.
    common::time_point m_claims_paused_until;
    unsigned m_failed_renewals = 0;
    bool m_owner_key_read = false;
    bool m_candidate = false;
    bool m_claim_pending = false;
    bool m_is_owner = false;
    bool m_stopping = false;
    bool m_key_read_pending = false;
};

} // namespace buckthornspar::service
