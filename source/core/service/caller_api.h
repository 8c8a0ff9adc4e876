#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/net/http_server.h"
#include "core/service/job_admission.h"
#include "core/service/job_directory.h"
#include "core/service/job_intake.h"
#include "core/service/peer_messages.h"
#include "core/service/platform_adapter.h"

#include <functional>
#include <optional>
#include <string>

namespace buckthornspar::service {

/// HTTP interface for customers: submissions, queries, cancellations and counts of pending jobs.
/// Each call gets one answer. Answers are logged with their reason, except successful queries.
class caller_api final : public net::http_handler {
public:
    struct environment {
        const common::clock& clock;
        common::counters& counters;
        const platform_format& format;
        job_directory& directory;
        job_intake& intake;
        /// Null until the first configuration has been read.
        std::function<const service_configuration*()> configuration;
        /// Owner only: number of jobs per queue that have not begun; empty on other nodes.
        std::function<std::optional<pending_counts>()> owner_pending;
        std::string node;
        /// Asks the owner for the state of a job that another node accepted; empty when unknown.
        std::function<void(const std::string& job,
                           std::function<void(std::optional<dispatch::known_state>)> complete)>
            ask_state;
        job_admission* admission = nullptr;
    };

    explicit caller_api(environment env) : m_env(std::move(env)) {}

    void handle(net::http_request request, net::http_reply reply) override;

private:
    struct call {
        net::http_method method = net::http_method::get;
        std::string id;
        /// A copy, because the configuration may be replaced before the call is answered.
        std::string queue;
        customers::job_access access;
        /// Cap of the customer; 0 for no limit.
        placement::resources cap;
        common::time_point received;
        common::duration deadline{0};
        net::http_reply reply;
    };

    /// Identifies the customer by the key of the call. False when the queue requires a key and the
    /// call has none, or one that no customer has.
    [[nodiscard]] bool identify(const service_configuration& configuration,
                                const queue_route& route, std::string_view key,
                                call& request) const;
    void submit(const call& request, const std::string& body,
                const dispatch::queue_settings& queue);
    void store_job(const call& request, const dispatch::job_spec& job, std::int64_t memory);
    /// Refuses the submission of a job that is not accepted now for the given reason. It may be the
    /// repeat of one that was accepted.
    void refuse_unless_stored(const call& request, const dispatch::job_spec& job,
                              const net::http_response& response, const std::string& reason);
    void query(const call& request);
    void query_store(const call& request);
    /// Later queries of an ended job need no other node.
    void remember_final(const std::string& id, const dispatch::known_state& known) const;
    void answer_no_such_job(const call& request, std::string_view source) const;
    void cancel(const call& request);
    void count(const call& request);
    void answer(const call& request, net::http_response response, std::string_view outcome,
                std::string_view reason) const;
    [[nodiscard]] common::time_point store_deadline(const call& request) const;

    environment m_env;
};

} // namespace buckthornspar::service
