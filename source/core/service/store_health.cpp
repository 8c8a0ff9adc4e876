#include "core/service/store_health.h"

#include <utility>

namespace buckthornspar::service {

using dispatch::store_completion;
using dispatch::store_result;
using dispatch::store_status;

namespace {

// A single failure can be a lost answer; two in a row count as an outage.
constexpr unsigned min_outage_failures = 2;
// Time after the last failure when a call may probe whether the outage is over.
constexpr auto probe_interval = std::chrono::milliseconds(200);

} // namespace

void store_health::record_outcome(store_status status) {
    const auto now = m_clock.now();
    if (status == store_status::unavailable || status == store_status::unknown) {
        m_last_failure = now;
        ++m_failures;
        return;
    }
    m_last_answer = now;
    m_failures = 0;
}

bool store_health::usable() const {
    return m_failures < min_outage_failures || m_clock.now() - m_last_failure > probe_interval;
}

store_completion monitored_store::observe(store_completion complete) {
    return [this, complete = std::move(complete)](store_result result) {
        m_health.record_outcome(result.status);
        complete(std::move(result));
    };
}

void monitored_store::read(const std::string& key, store_completion complete) {
    m_store.read(key, observe(std::move(complete)));
}

void monitored_store::range(const std::string& prefix, const std::string& after,
                            store_completion complete) {
    m_store.range(prefix, after, observe(std::move(complete)));
}

void monitored_store::watch(const std::string& prefix, std::uint64_t after, common::duration wait,
                            store_completion complete) {
    m_store.watch(prefix, after, wait, observe(std::move(complete)));
}

void monitored_store::commit(const dispatch::store_commit& change, store_completion complete) {
    m_store.commit(change, observe(std::move(complete)));
}

void monitored_store::open_lease(common::duration ttl, store_completion complete) {
    m_store.open_lease(ttl, observe(std::move(complete)));
}

void monitored_store::keep_lease(std::uint64_t lease, store_completion complete) {
    m_store.keep_lease(lease, observe(std::move(complete)));
}

void monitored_store::end_lease(std::uint64_t lease, store_completion complete) {
    m_store.end_lease(lease, observe(std::move(complete)));
}

} // namespace buckthornspar::service
