#include "entry_application.h"

#include "core/common/counters.h"
#include "core/server/cluster_member.h"
#include "core/server/config_cache.h"
#include "core/server/platform_adapters.h"
#include "core/server/server_process.h"

#include <utility>

namespace buckthornspar::entry {

entry_application::entry_application(server::server_process& process)
    : m_process(process),
      m_config(std::make_unique<server::config_cache>([](std::uint64_t, const std::string&) {})),
      m_member(std::make_unique<server::cluster_member>(process, "entry",
                                                        server::make_instance_list(process),
                                                        *m_config, server::member_hooks{})),
      m_jobs(std::make_unique<job_gateway>(process, *m_member,
                                           shard_directory(process.settings().shards))) {
    m_member->start();
}

entry_application::~entry_application() {
    m_member->stop();
}

void entry_application::handle(net::http_request request, net::http_reply reply) {
    if (m_draining) {
        m_process.counters().get("refusals_total", "reason", "draining").add();
        reply(net::error_response(503, "draining", "the process is leaving; nothing was done"));
        return;
    }
    const auto segments = net::path_segments(request.path());
    if (segments.size() >= 2 && segments[0] == "v1" && segments[1] == "jobs") {
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
}

bool entry_application::drained() const {
    return m_jobs->in_progress() == 0;
}

} // namespace buckthornspar::entry
