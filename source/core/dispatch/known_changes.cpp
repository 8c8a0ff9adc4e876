#include "core/dispatch/known_changes.h"

namespace buckthornspar::dispatch {

namespace {

// While the store answers, at least one of the owner's two watches is answered in this time: a call
// waits for 0.5 s, may take 0.6 s more, and begins again after 0.3 s at most. A single watch that
// is not answered therefore does not show an outage.
constexpr auto min_outage_silence = std::chrono::milliseconds(1500);
// With a longer delay of the event loop, answers may be waiting.
constexpr auto max_loop_delay = std::chrono::milliseconds(250);

} // namespace

bool is_outage(const store_contact& contact) {
    return contact.silence >= min_outage_silence && contact.loop_delay < max_loop_delay;
}

// While no call to the store is answered, it accepts no changes either, and placement goes on. A
// store that serves the other nodes takes the ownership from this one. A watch that was late before
// the outage stays as late.
common::time_point changes_known_until(const watch_state& watch, const store_contact& contact) {
    return watch.failing && is_outage(contact) ? watch.known_until + contact.silence
                                               : watch.known_until;
}

} // namespace buckthornspar::dispatch
