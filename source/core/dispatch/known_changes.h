#pragma once

#include "core/common/clock.h"

namespace buckthornspar::dispatch {

/// How current an owner's watch of one prefix of the store is.
struct watch_state {
    /// When the last answered call was sent.
    common::time_point known_until;
    /// The last call has not been answered.
    bool failing = false;
};

/// The owner's recent calls to the store, over all prefixes.
struct store_contact {
    /// Time since any call was answered.
    common::duration silence{0};
    /// Recent delay of the owner's event loop: answers may have waited as long.
    common::duration loop_delay{0};
};

/// No call has been answered for so long that the store accepts no changes.
[[nodiscard]] bool is_outage(const store_contact& contact);

/// Time before which all accepted changes under the watched prefix are known. It advances during an
/// outage of the store, which accepts none meanwhile.
[[nodiscard]] common::time_point changes_known_until(const watch_state& watch,
                                                     const store_contact& contact);

} // namespace buckthornspar::dispatch
