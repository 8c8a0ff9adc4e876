#include "core/emulation/emulated_watch.h"

#include "core/emulation/emulated_platform.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::emulation {

namespace {

// Same value as in the service's watches.
constexpr auto retry_delay = std::chrono::milliseconds(150);

} // namespace

void emulated_watch::start(std::size_t position, common::time_point read_at) {
    m_position = position;
    m_known_until = read_at;
    send();
}

void emulated_watch::send() {
    m_platform.watch_store(
        m_owner.fence(), m_prefix, m_position,
        [this, sent_at = m_platform.now()](const std::optional<store_changes>& changes) {
            const auto weight = changes ? changes->size() : 0;
            m_owner.post(
                {}, [this, sent_at, changes] { on_result(sent_at, changes); },
                std::max<std::size_t>(weight, 1));
        });
}

void emulated_watch::on_result(common::time_point sent_at,
                               const std::optional<store_changes>& changes) {
    m_failing = !changes;
    if (!changes) {
        m_owner.post(retry_delay, [this] { send(); });
        return;
    }
    m_owner.record_store_answer();
    m_known_until = sent_at;
    m_position += changes->size();
    for (const auto& change : *changes) {
        change(m_owner);
    }
    const auto interval = m_platform.watch_interval(m_prefix);
    if (interval.count() > 0) {
        m_owner.post(interval, [this] { send(); });
    } else {
        send();
    }
}

} // namespace buckthornspar::emulation
