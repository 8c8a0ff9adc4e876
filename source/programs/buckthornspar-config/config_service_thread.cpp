#include "config_service_thread.h"

#include "core/common/logging.h"

#include <algorithm>
#include <utility>

namespace buckthornspar::config_server {

using namespace std::chrono_literals;

namespace {

/// Calls from other threads take at most half of the ring. The rest is reserved for store
/// responses; there is at most one for each of the few store calls in flight, so none is ever
/// dropped.
constexpr std::size_t ring_capacity = 512;
constexpr std::size_t max_open_calls = ring_capacity / 2;
constexpr common::duration watcher_check_period = 200ms;
constexpr common::duration refresh_period = 200ms;
constexpr common::duration max_wait = 100ms;
constexpr common::duration history_timeout = 2s;
/// Gives peers that know a version time to announce it. Without this delay, a process that starts
/// while the store has been emptied would create a second history.
constexpr common::duration first_version_delay = 1500ms;

} // namespace

config_service_thread::config_service_thread(config::config_service_options options,
                                             store::kv_store& store, const common::clock& clock,
                                             common::counters& counters, config_service_hooks hooks)
    : m_store(store),
      m_clock(clock),
      m_hooks(std::move(hooks)),
      m_service(std::move(options), counters),
      m_events(std::make_shared<event_ring>(ring_capacity)) {}

config_service_thread::~config_service_thread() {
    m_stopping = true;
    m_events->close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void config_service_thread::start() {
    m_thread = std::thread([this] { run(); });
}

bool config_service_thread::submit(config::patch p, result_callback complete) {
    return push_call(submission{std::move(p), std::move(complete)});
}

bool config_service_thread::read_history(history_reader read) {
    return push_call(history_read{std::move(read), m_clock.now() + history_timeout});
}

bool config_service_thread::push_call(event e) {
    if (m_open_calls.fetch_add(1) < max_open_calls && m_events->try_push(e)) {
        return true;
    }
    --m_open_calls;
    return false;
}

void config_service_thread::run() {
    m_started = m_clock.now();
    m_service.start(m_started);
    run_actions();
    while (!m_stopping) {
        auto events = m_events->pop_all(wait_time(m_clock.now()));
        const auto now = m_clock.now();
        for (auto& e : events) {
            process_event(now, std::move(e));
        }
        m_service.on_time(now);
        update_watcher(now);
        run_actions();
        complete_reads(now);
        m_loaded = m_service.loaded();
    }
}

common::duration config_service_thread::wait_time(common::time_point now) const {
    const auto wakeup = m_service.next_wakeup();
    const common::duration wait = wakeup ? *wakeup - now : max_wait;
    return std::clamp<common::duration>(wait, 0ms, max_wait);
}

void config_service_thread::process_event(common::time_point now, event e) {
    if (auto* const result = std::get_if<store_response>(&e)) {
        m_service.on_response(now, result->call, result->response);
        log_store_change();
    } else if (auto* const call = std::get_if<submission>(&e)) {
        const std::uint64_t ticket = m_next_ticket++;
        m_callbacks.emplace(ticket, std::move(call->complete));
        m_service.submit(now, ticket, std::move(call->request), common::wall_clock_ms());
    } else if (auto* const read = std::get_if<history_read>(&e)) {
        m_reads.push_back(std::move(*read));
    }
    run_actions();
}

void config_service_thread::run_actions() {
    for (auto& action : m_service.take_actions()) {
        if (const auto* const call = std::get_if<store::store_call>(&action)) {
            call_store(*call);
        } else if (const auto* const advanced = std::get_if<config::version_advanced>(&action)) {
            m_hooks.on_version(*advanced);
        } else if (const auto* const result = std::get_if<config::patch_result>(&action)) {
            auto waiting = m_callbacks.extract(result->ticket);
            if (!waiting.empty()) {
                waiting.mapped()(*result);
                --m_open_calls;
            }
        }
    }
}

void config_service_thread::call_store(const store::store_call& call) {
    m_store.submit(call.request, [events = m_events, id = call.id](store::kv_response response) {
        (void)events->try_push(store_response{id, std::move(response)});
    });
}

void config_service_thread::log_store_change() {
    if (m_service.store_available() == m_store_available) {
        return;
    }
    m_store_available = m_service.store_available();
    common::log_event(m_store_available ? common::severity::info : common::severity::warning,
                      m_store_available ? "store_regained" : "store_lost",
                      {{"version", m_service.history().version()}});
}

void config_service_thread::complete_reads(common::time_point now) {
    const bool behind = m_service.history().version() < m_hooks.known_version();
    if (!m_reads.empty() && behind && now >= m_next_refresh) {
        m_next_refresh = now + refresh_period;
        m_service.refresh(now);
        run_actions();
    }
    std::vector<history_read> waiting;
    for (auto& read : m_reads) {
        if (behind && now < read.deadline) {
            waiting.push_back(std::move(read));
            continue;
        }
        read.read(m_service.history());
        --m_open_calls;
    }
    m_reads = std::move(waiting);
}

void config_service_thread::update_watcher(common::time_point now) {
    if (now < m_next_watcher_check) {
        return;
    }
    m_next_watcher_check = now + watcher_check_period;
    const bool watch = m_hooks.is_watcher();
    if (watch != m_watching) {
        m_watching = watch;
        m_service.set_watching(now, watch);
    }
    if (watch && now - m_started >= first_version_delay && m_hooks.known_version() == 0) {
        m_service.ensure_first_version(now, common::wall_clock_ms());
    }
}

} // namespace buckthornspar::config_server
