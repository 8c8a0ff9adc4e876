#include "job_gateway.h"

#include "core/common/counters.h"
#include "core/server/cluster_member.h"
#include "core/server/server_process.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace buckthornspar::entry {

namespace json = boost::json;

namespace {

constexpr common::duration call_timeout = std::chrono::seconds(5);
// The scheduler gets a shorter deadline, so that its refusal arrives before the call times out here
// and the caller gets the refusal instead of an unknown outcome.
constexpr common::duration answer_margin = std::chrono::milliseconds(400);
constexpr common::duration min_call_timeout = std::chrono::milliseconds(50);
constexpr common::duration retry_delay = std::chrono::milliseconds(50);
constexpr std::size_t max_job_id_bytes = 128;

// HTTP status for each error type with which a scheduler refuses a call.
unsigned status_of(std::string_view error_type) {
    static const std::map<std::string_view, unsigned> statuses{
        {"invalid_job", 400},       {"id_conflict", 409}, {"infeasible", 422},
        {"store_unavailable", 503}, {"queue_full", 429},  {"team_limit", 429},
        {"draining", 503},          {"wrong_role", 503},  {"not_ready", 503},
    };
    const auto position = statuses.find(error_type);
    return position == statuses.end() ? 422 : position->second;
}

bool is_json(const net::http_request& request) {
    const auto type = request.fields.get("Content-Type");
    return type.substr(0, type.find(';')) == "application/json";
}

// Reason for which the gateway itself refuses a submission.
struct submission_problem {
    unsigned status;
    std::string type;
    std::string detail;
    std::string field;
};

struct submission {
    std::string id;
    std::string region;
    std::string team;
    std::optional<submission_problem> problem;
};

submission invalid(std::string detail, std::string field) {
    return {
        {}, {}, {}, submission_problem{400, "invalid_job", std::move(detail), std::move(field)}};
}

// Reads only the fields that determine the home shard. The scheduler validates the rest.
submission read_submission(const std::string& body) {
    json::error_code failure;
    const json::value document = json::parse(body, failure);
    if (failure) {
        return {{}, {}, {}, submission_problem{400, "malformed_json", failure.message(), ""}};
    }
    if (!document.is_object()) {
        return invalid("the body must be a JSON object", "");
    }
    const auto& object = document.get_object();
    const json::value* const id = object.if_contains("id");
    if (id == nullptr || !id->is_string() || id->get_string().empty()) {
        return invalid("must be a non-empty string", "id");
    }
    if (id->get_string().size() > max_job_id_bytes) {
        return invalid("must not be longer than 128 bytes", "id");
    }
    submission s;
    s.id = std::string(id->get_string());
    if (const json::value* const region = object.if_contains("region")) {
        if (!region->is_string()) {
            return invalid("must be a string", "region");
        }
        s.region = std::string(region->get_string());
    }
    const json::value* const team = object.if_contains("team");
    if (team != nullptr && team->is_string()) {
        s.team = std::string(team->get_string());
    }
    return s;
}

} // namespace

// A call of a caller, with all attempts to forward it.
struct job_gateway::exchange {
    peer::job_call call;
    std::string shard;
    net::http_reply reply;
    common::time_point expires_at;
    /// Number of shards that have answered that they do not know the job.
    std::size_t shards_searched = 0;
    /// Set while the shards are searched for the job of a repeated submission.
    std::optional<repeated_submission> repeated;
    bool may_have_been_executed = false;
    /// Scheduler named by the last not_owner answer.
    std::string owner_hint;
    /// Scheduler of the current attempt, and the last one that gave no answer.
    std::string called_scheduler;
    std::string unreachable_scheduler;
};

job_gateway::job_gateway(server::server_process& process, server::cluster_member& member,
                         shard_directory directory)
    : m_process(process),
      m_member(member),
      m_directory(std::move(directory)),
      m_jitter(static_cast<std::uint64_t>(common::wall_clock_ms())) {}

void job_gateway::handle(const net::http_request& request, net::http_reply reply) {
    const auto segments = net::path_segments(request.path());
    if (segments.size() == 2) {
        if (request.method != net::http_method::post) {
            reply(net::error_response(405, "method_not_allowed", "use POST"));
            return;
        }
        submit(request, std::move(reply));
        return;
    }
    peer::job_call call;
    call.job_or_id = segments[2];
    const bool explain = segments.size() == 4 && segments[3] == "explain";
    if (request.method == net::http_method::get && (segments.size() == 3 || explain)) {
        call.operation = explain ? peer::job_operation::explain : peer::job_operation::status;
    } else if (request.method == net::http_method::del && segments.size() == 3) {
        call.operation = peer::job_operation::cancel;
    } else {
        reply(net::error_response(404, "not_found", "no such resource"));
        return;
    }
    const std::string home = m_directory.home(call.job_or_id, "");
    start(std::move(call), home, std::move(reply));
}

void job_gateway::submit(const net::http_request& request, net::http_reply reply) {
    if (!is_json(request)) {
        reply(net::error_response(415, "unsupported_media_type", "use application/json"));
        return;
    }
    const submission s = read_submission(request.body);
    if (s.problem) {
        reply(net::error_response(s.problem->status, s.problem->type, s.problem->detail,
                                  s.problem->field));
        return;
    }
    std::string home = s.region.empty()
                           ? m_directory.preferred_home(s.id, preferred_regions(s.team))
                           : m_directory.home(s.id, s.region);
    if (home.empty()) {
        reply(net::error_response(422, "unknown_region", "no shard serves this region", "region"));
        return;
    }
    peer::job_call call;
    call.operation = peer::job_operation::submit;
    call.job_or_id = request.body;
    if (request.fields.get("X-Repeat") != "true") {
        start(std::move(call), std::move(home), std::move(reply));
        return;
    }
    peer::job_call search;
    search.job_or_id = s.id;
    start(std::move(search), m_directory.home(s.id, ""), std::move(reply),
          repeated_submission{std::move(call), std::move(home)});
}

std::vector<std::string> job_gateway::preferred_regions(const std::string& team) const {
    const auto position = m_region_preferences.find(team);
    return position == m_region_preferences.end() ? std::vector<std::string>{} : position->second;
}

void job_gateway::set_region_preferences(
    std::map<std::string, std::vector<std::string>> preferences) {
    m_process.loop().post([this, preferences = std::move(preferences)]() mutable {
        m_region_preferences = std::move(preferences);
    });
}

void job_gateway::start(peer::job_call call, std::string shard, net::http_reply reply,
                        std::optional<repeated_submission> repeated) {
    auto e = std::make_shared<exchange>();
    e->repeated = std::move(repeated);
    // The earlier submission may have been accepted.
    e->may_have_been_executed = e->repeated.has_value();
    e->call = std::move(call);
    e->shard = std::move(shard);
    e->reply = std::move(reply);
    e->expires_at = m_process.clock().now() + call_timeout;
    ++m_in_progress;
    attempt(e);
}

// Heartbeats from other regions are infrequent. After a change of ownership, the new owner may be
// unknown here for a while, and the known owner may have been down for a long time. Any other
// scheduler of the shard's region can name the current owner.
std::optional<server::peer_status> job_gateway::choose_scheduler(const exchange& e) const {
    auto owner = m_member.tracker().owner_of(e.shard);
    const std::string region = m_directory.region_of(e.shard);
    std::optional<server::peer_status> fallback = owner;
    std::optional<server::peer_status> other_scheduler;
    for (const auto& p : m_member.tracker().peers()) {
        if (p.id == e.owner_hint) {
            return p;
        }
        if (p.role != membership::instance_role::scheduler || p.region != region) {
            continue;
        }
        if (p.id != e.unreachable_scheduler) {
            other_scheduler = p;
        } else if (!fallback) {
            fallback = p;
        }
    }
    if (owner && owner->id != e.unreachable_scheduler) {
        return owner;
    }
    return other_scheduler ? other_scheduler : fallback;
}

void job_gateway::attempt(const exchange_ptr& e) {
    const auto now = m_process.clock().now();
    if (now >= e->expires_at) {
        give_up(e);
        return;
    }
    const auto owner = choose_scheduler(*e);
    if (!owner) {
        retry(e, "no_owner");
        return;
    }
    e->called_scheduler = owner->id;
    e->call.from = m_member.self();
    e->call.shard = e->shard;
    const auto remaining_time =
        std::max<common::duration>(e->expires_at - now - answer_margin, min_call_timeout);
    e->call.deadline_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(remaining_time).count());
    m_member.node().call_job(owner->address, e->call, [this, e](peer::job_reply reply) {
        m_process.loop().post([this, e, reply = std::move(reply)] { on_reply(e, reply); });
    });
}

void job_gateway::on_reply(const exchange_ptr& e, const peer::job_reply& reply) {
    switch (reply.status) {
    case peer::reply_status::ok: {
        if (e->repeated) {
            submit_repeated(e, e->shard);
            return;
        }
        const bool created = e->call.operation == peer::job_operation::submit;
        finish(e, net::json_response(created ? 201 : 200, reply.body));
        return;
    }
    case peer::reply_status::refused:
        // The refusal concerns only this attempt; an earlier attempt may still take effect.
        if (e->may_have_been_executed && e->call.operation == peer::job_operation::submit) {
            give_up(e);
            return;
        }
        m_process.counters().get("refusals_total", "reason", reply.error_type).add();
        finish(e, net::error_response(status_of(reply.error_type), reply.error_type,
                                      reply.error_detail, reply.error_field));
        return;
    case peer::reply_status::not_found:
        search_next_shard(e);
        return;
    case peer::reply_status::not_owner:
        e->owner_hint = reply.owner_hint;
        retry(e, "not_owner");
        return;
    case peer::reply_status::not_sent:
        e->owner_hint.clear();
        e->unreachable_scheduler = e->called_scheduler;
        retry(e, "not_sent");
        return;
    case peer::reply_status::no_answer:
        e->owner_hint.clear();
        e->unreachable_scheduler = e->called_scheduler;
        e->may_have_been_executed = true;
        retry(e, "no_answer");
        return;
    }
}

// A job that was submitted with a region belongs to a shard of that region, but a later query
// contains only the id. The home shard among all shards is queried first, then the others.
void job_gateway::search_next_shard(const exchange_ptr& e) {
    const auto& shards = m_directory.shards();
    const std::string home = m_directory.home(e->call.job_or_id, "");
    std::size_t index = e->shards_searched++;
    if (index < shards.size() && shards[index].id == home) {
        index = e->shards_searched++;
    }
    if (index >= shards.size()) {
        if (e->repeated) {
            submit_repeated(e, e->repeated->home);
            return;
        }
        finish(e, net::error_response(404, "unknown_job", "no shard knows a job with this id"));
        return;
    }
    e->shard = shards[index].id;
    e->owner_hint.clear();
    attempt(e);
}

// A shard that knows the job compares the contents and returns the result of the first submission.
void job_gateway::submit_repeated(const exchange_ptr& e, const std::string& shard) {
    e->shard = shard;
    e->call = std::move(e->repeated->call);
    e->repeated.reset();
    // The outcome of the earlier submission is now known, so a refusal can be passed to the caller.
    e->may_have_been_executed = false;
    e->owner_hint.clear();
    attempt(e);
}

void job_gateway::retry(const exchange_ptr& e, std::string_view reason) {
    m_process.counters().get("retries_total", "reason", reason).add();
    const auto delay = common::duration(static_cast<std::int64_t>(
        (0.5 + m_jitter.unit()) * static_cast<double>(retry_delay.count())));
    m_process.loop().post_after(delay, [this, e] { attempt(e); });
}

void job_gateway::give_up(const exchange_ptr& e) {
    if (e->may_have_been_executed) {
        m_process.counters().get("refusals_total", "reason", "outcome_unknown").add();
        finish(e, net::error_response(
                      504, "outcome_unknown",
                      "the scheduler did not answer; repeat the call with the same id"));
        return;
    }
    m_process.counters().get("refusals_total", "reason", "shard_unavailable").add();
    finish(e, net::error_response(
                  503, "shard_unavailable",
                  "no scheduler owns the job's shard at present; the call was not executed"));
}

void job_gateway::finish(const exchange_ptr& e, net::http_response response) {
    --m_in_progress;
    e->reply(std::move(response));
}

} // namespace buckthornspar::entry
