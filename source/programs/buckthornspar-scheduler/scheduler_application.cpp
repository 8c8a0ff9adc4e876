#include "scheduler_application.h"

#include "core/scheduling/http_worker_client.h"
#include "core/server/cluster_member.h"
#include "core/server/platform_adapters.h"
#include "core/server/server_process.h"
#include "core/server/shared_config.h"
#include "decision_thread.h"
#include "quota_messages.h"
#include "quota_router.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduler {

namespace {

// Long polls occupy one connection per worker in addition to the one for adopt and sync calls.
net::http_client_limits worker_connections() {
    net::http_client_limits limits;
    limits.max_connections_per_endpoint = 4;
    return limits;
}

std::vector<scheduling::shard_engine_settings>
make_engine_settings(const std::vector<server::shard_settings>& shards,
                     const scheduler_settings& settings, const server::server_settings& shared) {
    const std::int64_t start_number = common::wall_clock_ms();
    std::vector<scheduling::shard_engine_settings> engines;
    engines.reserve(shards.size());
    for (const auto& shard : shards) {
        engines.push_back(engine_settings(settings, shared, shard.id, start_number));
    }
    return engines;
}

scheduling::shard_policy policy_of(const config::configuration& c) {
    scheduling::shard_policy policy;
    policy.quotas = c.quotas;
    for (const auto& [worker, reason] : c.worker_exclusions) {
        policy.excluded_workers.insert(worker);
    }
    for (const auto& [kind, workload] : c.workload_policies) {
        policy.workloads[placement::workload_kind_names.value(kind)] = {
            {workload.scorer, workload.spread}, static_cast<std::uint32_t>(workload.max_attempts)};
    }
    policy.max_tasks_per_job = static_cast<std::uint32_t>(c.get(config::limit::max_tasks_per_job));
    policy.max_pending_jobs_per_team =
        static_cast<std::size_t>(c.get(config::limit::max_pending_jobs_per_team));
    return policy;
}

} // namespace

scheduler_application::scheduler_application(server::server_process& process,
                                             const scheduler_settings& settings)
    : m_process(process),
      m_http(process.loop(), worker_connections()),
      m_workers(std::make_unique<scheduling::http_worker_client>(m_http, settings.worker_timeout)),
      m_store(server::make_kv_store(process)),
      m_config(std::make_unique<server::shared_config>(
          [this](std::uint64_t, const config::configuration& c) {
              m_decisions->set_policy(policy_of(c));
          })),
      m_quota_router(std::make_unique<quota_router>(process.settings().shards)) {
    m_decisions = std::make_unique<decision_thread>(
        make_engine_settings(own_shards(), settings, process.settings()), make_quota_transport(),
        settings.ring_capacity, process.clock(), process.counters(), process.loop(), *m_store,
        *m_workers);
    server::member_hooks hooks;
    hooks.on_job_call = [this](peer::job_call call,
                               const std::function<void(peer::job_reply)>& complete) {
        serve(std::move(call), complete);
    };
    hooks.fill_heartbeat = [this](peer::heartbeat& beat) { fill_heartbeat(beat); };
    hooks.on_peer_heartbeat = [this](const server::peer_status& status) {
        on_peer_heartbeat(status);
    };
    hooks.on_quota_messages = [this](const peer::sender& from, const auto& messages) {
        on_quota_messages(from, messages);
    };
    hooks.on_instances = [this](const membership::instance_snapshot& s) { on_instances(s); };
    m_member = std::make_unique<server::cluster_member>(
        process, "scheduler", server::make_instance_list(process), *m_config, std::move(hooks));
    m_quota_member = m_member.get();
    m_member->start();
}

// The loop is stopped before the decision thread is destroyed, because completions of calls on the
// loop refer to that thread.
scheduler_application::~scheduler_application() {
    m_member->stop();
    m_decisions->stop();
    m_process.loop().stop();
}

std::vector<server::shard_settings> scheduler_application::own_shards() const {
    std::vector<server::shard_settings> shards;
    for (const auto& shard : m_process.settings().shards) {
        if (shard.region == m_process.settings().region) {
            shards.push_back(shard);
        }
    }
    return shards;
}

void scheduler_application::on_instances(const membership::instance_snapshot& snapshot) {
    m_instances_known = true;
    for (const auto& shard : own_shards()) {
        std::vector<membership::instance> workers;
        for (const auto& instance : snapshot.instances) {
            const bool in_place = std::find(shard.places.begin(), shard.places.end(),
                                            instance.place) != shard.places.end();
            if (instance.role == membership::instance_role::worker && in_place) {
                workers.push_back(instance);
            }
        }
        m_decisions->on_worker_list(shard.id, std::move(workers));
    }
}

void scheduler_application::on_peer_heartbeat(const server::peer_status& status) {
    const auto& owned = status.last_heartbeat.shards;
    for (const auto& view : m_decisions->views()) {
        const auto position =
            std::find_if(owned.begin(), owned.end(),
                         [&](const peer::shard_load& load) { return load.shard == view.shard; });
        if (position != owned.end()) {
            m_decisions->on_owner_heartbeat(view.shard, status.id, position->epoch);
        } else if (view.owner_hint == status.id) {
            m_decisions->on_owner_released(view.shard, status.id);
        }
    }
}

// Without a configuration version, quotas and exclusions are unknown. Queries and cancellations
// need neither.
void scheduler_application::serve(peer::job_call call,
                                  const std::function<void(peer::job_reply)>& complete) {
    if (call.operation == peer::job_operation::submit && m_config->version() == 0) {
        m_process.counters().get("refusals_total", "reason", "not_ready").add();
        peer::job_reply reply;
        reply.status = peer::reply_status::refused;
        reply.error_type = "not_ready";
        reply.error_detail = "no configuration version is known yet";
        complete(std::move(reply));
        return;
    }
    m_decisions->job_call(std::move(call), complete);
}

void scheduler_application::fill_heartbeat(peer::heartbeat& beat) const {
    for (const auto& view : m_decisions->views()) {
        if (view.owned) {
            beat.shards.push_back(view.load);
        }
    }
}

quota_transport scheduler_application::make_quota_transport() {
    quota_transport transport;
    for (const auto& shard : m_process.settings().shards) {
        transport.shards.push_back(shard.id);
    }
    transport.send = [this](const auto& messages) {
        if (server::cluster_member* const member = m_quota_member) {
            m_quota_router->send(*member, messages);
        }
    };
    return transport;
}

void scheduler_application::on_quota_messages(const peer::sender& from,
                                              const std::vector<peer::quota_message>& messages) {
    for (const auto& message : messages) {
        m_quota_router->learn_owner(from.id, message.from_shard, message.from_epoch);
        m_decisions->on_quota_message(from_peer(message));
    }
}

void scheduler_application::handle(net::http_request, net::http_reply reply) {
    reply(net::error_response(404, "not_found", "jobs are submitted at an entry"));
}

std::optional<std::string> scheduler_application::not_ready_reason() const {
    if (m_draining) {
        return "draining";
    }
    if (!m_instances_known) {
        return "no instance list yet";
    }
    if (m_config->version() == 0) {
        return "no configuration version is known yet";
    }
    return std::nullopt;
}

void scheduler_application::begin_drain() {
    m_draining = true;
    m_member->set_draining();
    m_decisions->drain();
}

bool scheduler_application::drained() const {
    const auto views = m_decisions->views();
    return std::none_of(views.begin(), views.end(),
                        [](const shard_view& view) { return view.owned; });
}

} // namespace buckthornspar::scheduler
