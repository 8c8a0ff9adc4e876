#include "core/service/caller_api.h"

#include "core/common/error.h"
#include "core/common/logging.h"
#include "core/dispatch/cap_check.h"
#include "core/dispatch/job_entry.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace buckthornspar::service {

using common::log_event;
using common::severity;
using namespace dispatch;

namespace {

// Assumed deadline of calls without the deadline header; their callers wait for about this time.
constexpr auto default_deadline = std::chrono::milliseconds(3000);
// Share of the caller's deadline that may be spent on store calls. After a refusal the caller then
// has time left to try another node.
constexpr int store_share_percent = 45;
// Maximum age of the pending job counts that are reported to callers, from the owner's call to the
// store on. A count may miss the jobs of the last 5 s at most; usually it is under 2 s old.
constexpr auto max_pending_age = std::chrono::milliseconds(3000);
constexpr const char* retry_after_s = "1";

net::http_response refusal(unsigned status, std::string_view type, std::string_view detail) {
    auto response = net::error_response(status, type, detail);
    response.fields.set("Retry-After", retry_after_s);
    return response;
}

common::duration read_deadline(const net::http_request& request, const std::string& header) {
    const auto text = request.fields.get(header);
    std::int64_t ms = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (read.ec != std::errc() || ms <= 0) {
        return default_deadline;
    }
    return std::chrono::milliseconds(ms);
}

std::string_view method_name(net::http_method method) {
    switch (method) {
    case net::http_method::get:
        return "query";
    case net::http_method::post:
        return "submit";
    case net::http_method::put:
        return "put";
    case net::http_method::del:
        return "cancel";
    }
    return "unknown";
}

} // namespace

common::time_point caller_api::store_deadline(const call& request) const {
    return request.received + request.deadline * store_share_percent / 100;
}

void caller_api::answer(const call& request, net::http_response response, std::string_view outcome,
                        std::string_view reason) const {
    const auto now = m_env.clock.now();
    m_env.counters
        .get("calls_total", "outcome",
             std::string(method_name(request.method)) + "_" + std::string(outcome))
        .add();
    // Successful queries are not logged: they change nothing and are by far the most frequent
    // calls.
    if (request.method != net::http_method::get || response.status >= 400) {
        log_event(response.status >= 500 ? severity::warning : severity::info, "call_answered",
                  {{"job", request.id},
                   {"customer", request.access.customer.value_or("")},
                   {"call", method_name(request.method)},
                   {"outcome", outcome},
                   {"reason", reason},
                   {"status", response.status},
                   {"took_ms", common::to_milliseconds(now - request.received)}});
    }
    request.reply(std::move(response));
}

void caller_api::handle(net::http_request request, net::http_reply reply) {
    call current;
    current.method = request.method;
    current.received = m_env.clock.now();
    current.deadline = read_deadline(request, m_env.format.deadline_header());
    current.reply = std::move(reply);
    const auto* const configuration = m_env.configuration();
    if (configuration == nullptr) {
        answer(current, refusal(503, "no_configuration", "no configuration is known yet"),
               "refused", "no_configuration");
        return;
    }
    const auto path = request.path();
    const auto* const route = configuration->find_route(request.fields.get("Host"), path);
    if (route == nullptr) {
        answer(current, net::error_response(404, "no_such_queue", "no such queue"), "refused",
               "no_such_queue");
        return;
    }
    current.queue = route->queue.name;
    if (!identify(*configuration, *route, request.fields.get(m_env.format.key_header()), current)) {
        auto response = net::error_response(401, "unknown_key", "the key is missing or not known");
        response.fields.set("WWW-Authenticate", m_env.format.key_header());
        answer(current, std::move(response), "refused", "unknown_key");
        return;
    }
    current.id = std::string(path.substr(route->prefix.size()));
    if (current.id.empty() && request.method == net::http_method::get) {
        count(current);
        return;
    }
    if (!m_env.format.is_job_id(current.id)) {
        answer(current, net::error_response(400, "invalid_id", "malformed job id"), "refused",
               "invalid_id");
        return;
    }
    switch (request.method) {
    case net::http_method::post:
        submit(current, request.body, route->queue);
        return;
    case net::http_method::get:
        query(current);
        return;
    case net::http_method::del:
        cancel(current);
        return;
    case net::http_method::put:
        break;
    }
    answer(current, net::error_response(405, "method_not_allowed", "use GET, POST or DELETE"),
           "refused", "method_not_allowed");
}

bool caller_api::identify(const service_configuration& configuration, const queue_route& route,
                          std::string_view key, call& request) const {
    if (route.open) {
        request.access.open_queue = route.queue.name;
    }
    if (const auto* const customer = configuration.customers.find_by_key(key)) {
        request.access.customer = customer->name;
        request.cap = customer->cap;
        return true;
    }
    return route.open;
}

void caller_api::submit(const call& request, const std::string& body, const queue_settings& queue) {
    job_spec job;
    try {
        job = m_env.format.read_submission(body);
        job.id = request.id;
        job.queue = request.queue;
        job.customer = request.access.customer.value_or("");
        job.accepted_ms = common::wall_clock_ms();
        job.accepted_by = m_env.node;
        job.accepted_queue = std::make_shared<const queue_settings>(queue);
        check_submission(job);
    } catch (const common::error& e) {
        answer(request, net::error_response(400, e.type(), e.what()), "refused", "invalid_job");
        return;
    }
    if (const auto excess = find_excess_over_cap(job, request.cap)) {
        refuse_unless_stored(request, job, net::error_response(400, "exceeds_cap", *excess),
                             "exceeds_cap");
        return;
    }
    const auto memory = memory_of(job);
    if (m_env.admission != nullptr && !m_env.admission->admit(memory)) {
        refuse_unless_stored(request, job, refusal(503, "no_memory", "the job was not stored"),
                             "no_memory");
        return;
    }
    store_job(request, job, memory);
}

void caller_api::refuse_unless_stored(const call& request, const job_spec& job,
                                      const net::http_response& response,
                                      const std::string& reason) {
    m_env.intake.query(job.id, request.access, store_deadline(request),
                       [this, request, job, response, reason](const intake_result& result) {
                           if (result.outcome == intake_outcome::found) {
                               store_job(request, job, 0);
                               return;
                           }
                           if (result.outcome != intake_outcome::no_such_job) {
                               answer(request,
                                      net::error_response(504, "outcome_unknown",
                                                          "the job may have been stored before"),
                                      "unknown", "store_gave_no_answer");
                               return;
                           }
                           answer(request, response, "refused", reason);
                       });
}

void caller_api::store_job(const call& request, const job_spec& job, std::int64_t memory) {
    const auto deadline = store_deadline(request);
    m_env.intake.submit(job, deadline, [this, request, job, memory](const intake_result& result) {
        const bool stored =
            result.outcome == intake_outcome::accepted || result.outcome == intake_outcome::unknown;
        if (m_env.admission != nullptr && !stored) {
            m_env.admission->give_back(memory);
        }
        switch (result.outcome) {
        case intake_outcome::accepted:
            // The owner reports changes to the node that stored the job first; on other nodes
            // queries read the store.
            if (result.accepted_by == m_env.node) {
                m_env.directory.apply_change(
                    m_env.clock.now(),
                    {job.id, job.queue, job_state::queued, job.accepted_by, job.customer});
            }
            answer(request, net::json_response(200, m_env.format.state_body(job_state::queued)),
                   "accepted", "stored");
            return;
        case intake_outcome::conflict:
            answer(request,
                   net::error_response(409, "id_conflict", "the id is in use for another job"),
                   "refused", "id_conflict");
            return;
        case intake_outcome::not_stored:
            answer(request, refusal(503, "store_unavailable", "the job was not stored"), "refused",
                   "store_unavailable");
            return;
        case intake_outcome::too_large:
            answer(request,
                   net::error_response(400, "job_too_large", "the job does not fit into the store"),
                   "refused", "job_too_large");
            return;
        default:
            answer(request,
                   net::error_response(504, "outcome_unknown", "the job may have been stored"),
                   "unknown", "store_gave_no_answer");
        }
    });
}

void caller_api::query(const call& request) {
    if (const auto known = m_env.directory.find(request.id)) {
        if (!may_reach(request.access, known->origin)) {
            answer_no_such_job(request, "directory");
            return;
        }
        answer(request, net::json_response(200, m_env.format.state_body(known->state)), "known",
               "directory");
        return;
    }
    m_env.ask_state(request.id, [this, request](const std::optional<known_state>& known) {
        if (!known) {
            query_store(request);
            return;
        }
        remember_final(request.id, *known);
        if (!may_reach(request.access, known->origin)) {
            answer_no_such_job(request, "owner");
            return;
        }
        answer(request, net::json_response(200, m_env.format.state_body(known->state)), "known",
               "owner");
    });
}

void caller_api::remember_final(const std::string& id, const known_state& known) const {
    if (is_final(known.state)) {
        m_env.directory.apply_change(
            m_env.clock.now(), {id, known.origin.queue, known.state, "", known.origin.customer});
    }
}

void caller_api::answer_no_such_job(const call& request, std::string_view source) const {
    answer(request, net::error_response(410, "no_such_job", "no such job"), "unknown_job", source);
}

void caller_api::query_store(const call& request) {
    const auto deadline = store_deadline(request);
    m_env.intake.query(
        request.id, request.access, deadline, [this, request](const intake_result& result) {
            if (result.outcome == intake_outcome::found) {
                remember_final(request.id, {result.state, result.origin});
                answer(request, net::json_response(200, m_env.format.state_body(result.state)),
                       "known", "store");
                return;
            }
            if (result.outcome == intake_outcome::no_such_job) {
                answer_no_such_job(request, "store");
                return;
            }
            answer(request, refusal(503, "store_unavailable", "the state is not known here"),
                   "refused", intake_outcome_names.name(result.outcome));
        });
}

void caller_api::cancel(const call& request) {
    const auto known = m_env.directory.find(request.id);
    if (known && !may_reach(request.access, known->origin)) {
        answer_no_such_job(request, "directory");
        return;
    }
    if (known && is_final(known->state)) {
        answer(request, net::json_response(200, m_env.format.state_body(known->state)), "ended",
               "directory");
        return;
    }
    const auto deadline = store_deadline(request);
    m_env.intake.cancel(
        request.id, request.access, deadline, [this, request](const intake_result& result) {
            switch (result.outcome) {
            case intake_outcome::accepted:
            case intake_outcome::found:
                answer(request, net::json_response(200, "{}"), "accepted",
                       intake_outcome_names.name(result.outcome));
                return;
            case intake_outcome::no_such_job:
                answer_no_such_job(request, "store");
                return;
            case intake_outcome::not_stored:
                answer(request, refusal(503, "store_unavailable", "the job is not cancelled"),
                       "refused", "store_unavailable");
                return;
            default:
                answer(request,
                       net::error_response(504, "outcome_unknown", "the job may be cancelled"),
                       "unknown", "store_gave_no_answer");
            }
        });
}

void caller_api::count(const call& request) {
    const auto& queue = request.queue;
    std::optional<std::size_t> pending;
    if (const auto owner_counts = m_env.owner_pending()) {
        const auto position = owner_counts->find(queue);
        pending = position == owner_counts->end() ? 0 : position->second;
    } else {
        pending = m_env.directory.pending_of(queue, m_env.clock.now(), max_pending_age);
    }
    if (!pending) {
        answer(request, refusal(503, "count_unknown", "the owner has not been in contact recently"),
               "refused", "count_unknown");
        return;
    }
    answer(request, net::json_response(200, m_env.format.pending_body(*pending)), "known", "count");
}

} // namespace buckthornspar::service
