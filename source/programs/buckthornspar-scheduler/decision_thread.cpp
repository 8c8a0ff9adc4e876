#include "decision_thread.h"

#include "core/common/logging.h"
#include "core/common/overloaded.h"
#include "core/net/event_loop.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::scheduler {

using namespace scheduling;

namespace {

// The engines run at least this often, even if they request no wake-up.
constexpr common::duration max_wait = std::chrono::milliseconds(100);
constexpr common::duration min_wait = std::chrono::microseconds(200);
constexpr common::duration view_period = std::chrono::milliseconds(20);
constexpr common::duration result_retry_delay = std::chrono::milliseconds(5);
constexpr common::duration cancel_deadline = std::chrono::seconds(2);

peer::job_reply make_refusal(std::string_view type, std::string detail) {
    peer::job_reply reply;
    reply.status = peer::reply_status::refused;
    reply.error_type = type;
    reply.error_detail = std::move(detail);
    return reply;
}

peer::job_reply to_peer(const job_reply& answer) {
    peer::job_reply reply;
    reply.body = answer.body;
    reply.owner_hint = answer.owner_hint;
    reply.error_detail = answer.detail;
    switch (answer.status) {
    case reply_status::accepted:
    case reply_status::ok:
        reply.status = peer::reply_status::ok;
        break;
    case reply_status::refused:
        // A refusal guarantees that nothing was executed; otherwise the outcome is unknown.
        reply.status = answer.outcome == execution_status::not_run ? peer::reply_status::refused
                                                                   : peer::reply_status::no_answer;
        reply.error_type = to_string(answer.reason);
        break;
    case reply_status::not_owner:
        reply.status = peer::reply_status::not_owner;
        break;
    case reply_status::not_found:
        reply.status = peer::reply_status::not_found;
        break;
    }
    return reply;
}

std::uint64_t to_unsigned(std::int64_t amount) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0));
}

} // namespace

decision_thread::decision_thread(std::vector<shard_engine_settings> shards,
                                 quota_transport transport, std::size_t ring_capacity,
                                 const common::clock& clock, common::counters& counters,
                                 net::event_loop& loop, store::kv_store& store,
                                 worker_client& workers)
    : m_clock(clock),
      m_counters(counters),
      m_loop(loop),
      m_store(store),
      m_workers(workers),
      m_ring(ring_capacity),
      m_quotas(std::move(transport), counters) {
    for (auto& settings : shards) {
        const std::string name = settings.shard;
        m_shards[name].engine = std::make_unique<shard_engine>(std::move(settings), counters);
    }
    m_thread = std::thread([this] { run(); });
}

decision_thread::~decision_thread() {
    stop();
}

void decision_thread::stop() {
    m_stopped = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

// Events.

bool decision_thread::push(const std::string& shard_name, event apply) {
    if (m_ring.try_push(queued_event{shard_name, std::move(apply)})) {
        return true;
    }
    m_counters.get("ring_refusals_total", "ring", "decisions").add();
    return false;
}

/// The result of a call must reach the engine, which would otherwise wait for it forever. The
/// number of pending results is bounded by the number of calls in flight.
void decision_thread::push_call_result(const std::string& shard_name, event apply) {
    if (m_stopped || push(shard_name, apply)) {
        return;
    }
    m_loop.post_after(result_retry_delay, [this, shard_name, apply = std::move(apply)] {
        push_call_result(shard_name, apply);
    });
}

void decision_thread::job_call(peer::job_call call, const job_completion& complete) {
    const std::string name = call.shard;
    if (!m_shards.contains(name)) {
        complete(make_refusal("unknown_shard", "this scheduler does not serve shard " + name));
        return;
    }
    const bool pushed =
        push(name, [this, call = std::move(call), complete](shard& s, common::time_point now) {
            process_call(s, now, call, complete);
        });
    if (!pushed) {
        complete(make_refusal("queue_full", "the scheduler's event queue is full"));
    }
}

void decision_thread::on_worker_list(const std::string& shard_name,
                                     std::vector<membership::instance> workers) {
    (void)push(shard_name, [workers = std::move(workers)](shard& s, common::time_point now) {
        s.engine->on_worker_list(now, workers);
    });
}

void decision_thread::on_owner_heartbeat(const std::string& shard_name, const std::string& owner,
                                         std::uint64_t epoch) {
    (void)push(shard_name, [owner, epoch](shard& s, common::time_point now) {
        s.engine->on_owner_heartbeat(now, owner, epoch);
    });
}

void decision_thread::on_owner_released(const std::string& shard_name, const std::string& owner) {
    (void)push(shard_name, [owner](shard& s, common::time_point now) {
        s.engine->on_owner_released(now, owner);
    });
}

void decision_thread::on_quota_message(const scheduling::quota_message& message) {
    if (!m_shards.contains(message.to_shard)) {
        m_counters.get("quota_messages_refused_total", "reason", "not_owner").add();
        return;
    }
    (void)push(message.to_shard, [this, message](shard&, common::time_point now) {
        m_quotas.on_message(now, message);
    });
}

void decision_thread::set_policy(const shard_policy& policy) {
    for (const auto& [name, s] : m_shards) {
        push_call_result(name, [this, policy](shard& target, common::time_point now) {
            target.engine->set_policy(now, policy);
            m_quotas.set_quotas(policy.quotas);
        });
    }
}

void decision_thread::drain() {
    for (const auto& [name, s] : m_shards) {
        push_call_result(name,
                         [](shard& target, common::time_point now) { target.engine->drain(now); });
    }
}

void decision_thread::process_call(shard& s, common::time_point now, const peer::job_call& call,
                                   job_completion complete) {
    if (call.operation == peer::job_operation::status) {
        complete(to_peer(s.engine->status(call.job_or_id)));
        return;
    }
    if (call.operation == peer::job_operation::explain) {
        complete(to_peer(s.engine->explain(call.job_or_id)));
        return;
    }
    const std::uint64_t ticket = m_next_ticket++;
    s.pending_replies.emplace(ticket, std::move(complete));
    if (call.operation == peer::job_operation::cancel) {
        s.engine->on_cancel(now, ticket, call.job_or_id, now + cancel_deadline);
        return;
    }
    try {
        const job_spec job = read_job(call.job_or_id);
        s.engine->on_submit(now, ticket, job, now + std::chrono::milliseconds(call.deadline_ms));
    } catch (const invalid_job& e) {
        peer::job_reply reply = make_refusal(e.type(), e.what());
        reply.error_field = e.field();
        s.pending_replies.extract(ticket).mapped()(std::move(reply));
    }
}

// Event loop.

void decision_thread::run() {
    common::time_point next_view;
    const auto engine_map = engines();
    while (!m_stopped) {
        auto events = m_ring.pop_all(wait_time(m_clock.now()));
        const auto now = m_clock.now();
        for (auto& item : events) {
            const auto position = m_shards.find(item.shard);
            if (position != m_shards.end()) {
                item.apply(position->second, now);
            }
        }
        for (auto& [name, s] : m_shards) {
            s.engine->on_time(now);
            for (const auto& action : s.engine->take_actions()) {
                execute(name, s, action);
            }
        }
        m_quotas.on_time(now, engine_map);
        if (now >= next_view) {
            publish_views();
            next_view = now + view_period;
        }
    }
}

quota_sharing::engine_map decision_thread::engines() const {
    quota_sharing::engine_map engines;
    for (const auto& [name, s] : m_shards) {
        engines.emplace(name, s.engine.get());
    }
    return engines;
}

std::chrono::microseconds decision_thread::wait_time(common::time_point now) const {
    common::duration wait = max_wait;
    for (const auto& [name, s] : m_shards) {
        if (const auto next = s.engine->next_wakeup(now)) {
            wait = std::min(wait, *next - now);
        }
    }
    return std::max(wait, min_wait);
}

void decision_thread::execute(const std::string& name, shard& s, const shard_action& action) {
    std::visit(common::overloaded{
                   [&](const store::store_call& c) { call_store(name, c); },
                   [&](const adopt_call& c) { call_worker(name, c); },
                   [&](const sync_call& c) { call_worker(name, c); },
                   [&](const events_call& c) { call_worker(name, c); },
                   [&](const reply_action& r) {
                       auto node = s.pending_replies.extract(r.ticket);
                       if (!node.empty()) {
                           node.mapped()(to_peer(r.reply));
                       }
                   },
                   [&](const ownership_changed& c) {
                       common::log_event(common::severity::info, "ownership",
                                         {{"shard", name},
                                          {"state", to_string(c.state)},
                                          {"epoch", c.epoch},
                                          {"reason", c.reason}});
                   },
               },
               action);
}

void decision_thread::call_store(const std::string& name, const store::store_call& c) {
    m_store.submit(c.request, [this, name, id = c.id](store::kv_response response) {
        push_call_result(name,
                         [id, response = std::move(response)](shard& s, common::time_point now) {
                             s.engine->on_store_response(now, id, response);
                         });
    });
}

void decision_thread::call_worker(const std::string& name, const adopt_call& c) {
    m_workers.adopt(
        c.address, c.request, [this, name, worker = c.worker, id = c.call](adopt_result result) {
            push_call_result(
                name, [worker, id, result = std::move(result)](shard& s, common::time_point now) {
                    s.engine->on_adopt(now, worker, id, result);
                });
        });
}

void decision_thread::call_worker(const std::string& name, const sync_call& c) {
    m_workers.sync(
        c.address, c.request, [this, name, worker = c.worker, id = c.call](sync_result result) {
            push_call_result(
                name, [worker, id, result = std::move(result)](shard& s, common::time_point now) {
                    s.engine->on_sync(now, worker, id, result);
                });
        });
}

void decision_thread::call_worker(const std::string& name, const events_call& c) {
    m_workers.events(c.address, c.after, c.max_wait,
                     [this, name, worker = c.worker, id = c.call](events_result result) {
                         push_call_result(name, [worker, id, result = std::move(result)](
                                                    shard& s, common::time_point now) {
                             s.engine->on_events(now, worker, id, result);
                         });
                     });
}

void decision_thread::publish_views() {
    std::vector<shard_view> views;
    for (const auto& [name, s] : m_shards) {
        const auto& engine = *s.engine;
        shard_view view;
        view.shard = name;
        view.owned = engine.owns();
        view.owner_hint = engine.owner_hint();
        view.load.shard = name;
        view.load.epoch = engine.epoch();
        if (view.owned) {
            const auto free = engine.free_resources();
            view.load.free_cpu_milli = to_unsigned(free.cpu_milli);
            view.load.free_memory_mb = to_unsigned(free.memory_mb);
            view.load.free_accelerators = to_unsigned(free.accelerators);
            view.load.pending_tasks = engine.waiting_tasks();
        }
        views.push_back(std::move(view));
    }
    const std::lock_guard lock(m_views_mutex);
    m_views = std::move(views);
}

std::vector<shard_view> decision_thread::views() const {
    const std::lock_guard lock(m_views_mutex);
    return m_views;
}

} // namespace buckthornspar::scheduler
