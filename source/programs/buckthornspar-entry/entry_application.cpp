#include "entry_application.h"

#include "core/common/counters.h"
#include "core/routing/http_runner_client.h"
#include "core/server/cluster_member.h"
#include "core/server/platform_adapters.h"
#include "core/server/server_process.h"
#include "core/server/shared_config.h"
#include "slot_messages.h"

#include <utility>

namespace buckthornspar::entry {

namespace {

std::unique_ptr<request_service> make_request_service(server::server_process& process,
                                                      request_settings settings,
                                                      request_service::peer_sender send_peer) {
    settings.engine.route.setup.entry_id = process.settings().id;
    settings.engine.route.setup.region = process.settings().region;
    routing::http_runner_settings runners;
    runners.entry_id = process.settings().id;
    runners.max_connections_per_runner = settings.max_connections_per_runner;
    return std::make_unique<request_service>(
        std::move(settings), process.loop(), process.clock(), process.counters(),
        std::make_unique<routing::http_runner_client>(process.loop(), runners),
        std::move(send_peer));
}

server::member_hooks make_hooks(request_service& requests) {
    server::member_hooks hooks;
    hooks.on_instances = [&requests](const membership::instance_snapshot& list) {
        requests.on_instances(list);
    };
    hooks.on_slot_demand = [&requests](const peer::sender& from, const peer::slot_demand& demand) {
        requests.on_peer_message(from_peer(from, demand));
    };
    hooks.on_slot_grant = [&requests](const peer::sender& from, const peer::slot_grant& grant) {
        requests.on_peer_message(from_peer(from, grant));
    };
    return hooks;
}

void apply_limits(request_service& requests, const config::configuration& c) {
    constexpr double percent = 0.01;
    routing::operator_limits limits;
    limits.max_per_caller =
        static_cast<std::size_t>(c.get(config::limit::max_queued_requests_per_caller));
    limits.retry_share = percent * static_cast<double>(c.get(config::limit::retry_budget_percent));
    limits.crossing_bytes_per_s =
        static_cast<double>(c.get(config::limit::cross_region_bytes_per_s));
    requests.on_limits(limits,
                       std::chrono::milliseconds(c.get(config::limit::max_request_deadline_ms)));
}

} // namespace

entry_application::entry_application(server::server_process& process, request_settings requests)
    : m_process(process),
      m_config(std::make_unique<server::shared_config>(
          [this](std::uint64_t, const config::configuration& c) {
              apply_limits(*m_requests, c);
              m_jobs->set_region_preferences(c.region_preferences);
          })),
      // m_member is created later. The policy sends no messages before the member has delivered the
      // first instance list.
      m_requests(make_request_service(
          process, std::move(requests),
          [this](const routing::peer_message& message) { send_to_peer(*m_member, message); })),
      m_member(std::make_unique<server::cluster_member>(process, "entry",
                                                        server::make_instance_list(process),
                                                        *m_config, make_hooks(*m_requests))),
      m_jobs(std::make_unique<job_gateway>(process, *m_member,
                                           shard_directory(process.settings().shards))) {
    m_member->start();
}

entry_application::~entry_application() {
    m_requests->stop();
    m_member->stop();
}

void entry_application::handle(net::http_request request, net::http_reply reply) {
    const auto segments = net::path_segments(request.path());
    if (segments.size() == 3 && segments[0] == "v1" && segments[1] == "requests") {
        // Not refused below while draining: the request service answers with the outcome.
        m_requests->handle(std::move(request), std::move(reply));
        return;
    }
    if (m_draining) {
        m_process.counters().get("refusals_total", "reason", "draining").add();
        reply(net::error_response(503, "draining",
                                  "the process is draining; the call was not executed"));
        return;
    }
    if (segments.size() >= 2 && segments[0] == "v1" && segments[1] == "jobs") {
        if (m_config->version() == 0) {
            m_process.counters().get("refusals_total", "reason", "not_ready").add();
            reply(net::error_response(503, "not_ready", "no configuration version is known yet"));
            return;
        }
        m_jobs->handle(request, std::move(reply));
        return;
    }
    reply(net::error_response(404, "not_found", "no such resource"));
}

std::optional<std::string> entry_application::not_ready_reason() const {
    if (m_draining) {
        return "draining";
    }
    if (m_config->version() == 0) {
        return "no configuration version is known yet";
    }
    return std::nullopt;
}

void entry_application::begin_drain() {
    m_draining = true;
    m_member->set_draining();
    m_requests->begin_drain();
}

bool entry_application::drained() const {
    return m_jobs->in_progress() == 0 && m_requests->in_progress() == 0;
}

} // namespace buckthornspar::entry
