#include "quota_sharing.h"

#include "core/scheduling/shard_engine.h"

#include <utility>

namespace buckthornspar::scheduler {

namespace {

// Limits how often usage and demand of the teams are computed, which requires a pass over the
// queues.
constexpr common::duration exchange_period = std::chrono::milliseconds(20);

} // namespace

quota_sharing::quota_sharing(quota_transport transport, common::counters& counters)
    : m_transport(std::move(transport)),
      m_exchange(m_transport.shards, {}, counters),
      m_enabled(m_transport.shards.size() > 1) {}

void quota_sharing::set_quotas(const std::map<std::string, placement::resources>& quotas) {
    m_exchange.set_quotas(quotas);
}

void quota_sharing::on_message(common::time_point now, const scheduling::quota_message& message) {
    m_exchange.on_message(now, message);
    m_next_exchange = now;
}

void quota_sharing::update_shard(common::time_point now, const std::string& name,
                                 scheduling::shard_engine& engine) {
    if (!engine.owns()) {
        m_exchange.remove_owned_shard(name);
        return;
    }
    if (!engine.may_report_quotas(now)) {
        m_exchange.pause_owned_shard(name);
        return;
    }
    m_exchange.add_owned_shard(name, engine.epoch());
    std::map<std::string, scheduling::quota_need> needs;
    for (const auto& demand : engine.quota_demands()) {
        needs[demand.team] = {demand.used, demand.waiting, demand.next};
    }
    m_exchange.set_needs(name, std::move(needs));
}

void quota_sharing::on_time(common::time_point now, const engine_map& engines) {
    if (!m_enabled || now < m_next_exchange) {
        return;
    }
    m_next_exchange = now + exchange_period;
    for (const auto& [name, engine] : engines) {
        update_shard(now, name, *engine);
    }
    const auto step = m_exchange.on_time(now);
    for (const auto& item : step.limits) {
        engines.at(item.shard)->set_quota_part(item.team, item.limit);
    }
    if (!step.messages.empty()) {
        m_transport.send(step.messages);
    }
}

} // namespace buckthornspar::scheduler
