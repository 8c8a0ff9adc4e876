#include "core/membership/http_instance_list.h"

#include "core/common/counters.h"
#include "core/common/error.h"
#include "core/membership/instance_format.h"

#include <memory>
#include <set>
#include <string>
#include <utility>

namespace buckthornspar::membership {

namespace {

const instance_list_registration registration("http", [](const instance_list_context& context) {
    return std::make_unique<http_instance_list>(context);
});

} // namespace

http_instance_list::http_instance_list(const instance_list_context& context)
    : m_counters(context.counters),
      m_address(context.address),
      m_timeout(context.timeout),
      m_client(context.loop, {}) {}

void http_instance_list::fetch(instance_completion complete) {
    net::http_request request;
    request.target = "/v1/instances";
    const std::uint64_t known = m_known_index;
    if (known != 0) {
        // The index lets the platform answer 304 for an unchanged list. Otherwise each process
        // would transfer the whole list twice a second, and the traffic would grow with the square
        // of the number of instances.
        request.target += "?index=" + std::to_string(known);
    }
    m_client.send(m_address, std::move(request), m_timeout,
                  [this, complete = std::move(complete)](const net::http_result& result) {
                      complete(read(result));
                  });
}

// An instance that is missing may be the one whose entry cannot be read. Those that have gone count
// as listed until the entry can be read again, as with a list that lags.
void http_instance_list::keep_missing_instances(instance_snapshot& snapshot) const {
    if (!m_last) {
        return;
    }
    std::set<std::string> listed;
    for (const auto& i : snapshot.instances) {
        listed.insert(i.id);
    }
    for (const auto& known : m_last->instances) {
        if (!listed.contains(known.id)) {
            snapshot.instances.push_back(known);
        }
    }
}

std::optional<instance_snapshot> http_instance_list::read(const net::http_result& result) {
    const auto* const failure = std::get_if<net::http_failure>(&result);
    if (failure != nullptr) {
        if (failure->kind == net::http_failure_kind::timed_out) {
            // Pooled connections may be dead while new ones would work.
            m_client.close_idle(m_address);
        }
        m_counters.get("instance_list_errors_total", "kind", net::to_string(failure->kind)).add();
        return std::nullopt;
    }
    const auto& response = std::get<net::http_response>(result);
    if (response.status == 304 && m_last) {
        return m_last;
    }
    if (response.status != 200) {
        m_counters
            .get("instance_list_errors_total", "kind", "status_" + std::to_string(response.status))
            .add();
        return std::nullopt;
    }
    try {
        std::size_t skipped = 0;
        auto snapshot = read_instances(response.body, &skipped);
        m_counters.get("instance_list_entries_skipped_total")
            .add(static_cast<std::int64_t>(skipped));
        if (snapshot.unreadable > 0) {
            m_counters.get("instance_list_entries_unreadable_total")
                .add(static_cast<std::int64_t>(snapshot.unreadable));
            keep_missing_instances(snapshot);
        }
        m_last = snapshot;
        m_known_index = snapshot.index;
        return snapshot;
    } catch (const common::format_error&) {
        m_counters.get("instance_list_errors_total", "kind", "bad_answer").add();
        return std::nullopt;
    }
}

} // namespace buckthornspar::membership
