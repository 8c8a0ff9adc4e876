#include "core/service/node_application.h"

#include "core/common/error.h"
#include "core/common/logging.h"
#include "core/service/store_keys.h"

#include <algorithm>
#include <random>
#include <utility>

namespace buckthornspar::service {

using common::log_event;
using common::severity;
using dispatch::store_item;

namespace {

// A node that has not reached the store for this long reports that it is not ready, because it
// cannot store jobs.
constexpr auto max_store_silence = std::chrono::milliseconds(3500);
// Upper bound of the lease of runs. A short lease lets tasks of a lost worker restart early and
// lets a new owner stop waiting for an unreachable worker early; it must be longer than a change of
// owner, which takes under 2 s, so that runs do not expire meanwhile.
constexpr auto preferred_lease = std::chrono::milliseconds(4000);
constexpr auto tick_interval = std::chrono::seconds(1);
// A quiet moment for a hand-over is looked for in these steps, and the last changes are waited for
// no longer than this: the successor finds what is not recorded at the workers.
constexpr auto quiet_check_interval = std::chrono::milliseconds(20);
constexpr auto max_hand_over_time = std::chrono::milliseconds(1000);
// The store has answered within this time before a hand-over.
constexpr auto max_hand_over_silence = std::chrono::milliseconds(700);
// A dead connection of a watch is only noticed after the watch's wait time, and a new configuration
// must take effect within 2.5 s.
constexpr auto configuration_wait = std::chrono::milliseconds(1300);

// Starts without a response: as many as the link carries within this time, and at least one for
// each of a few workers.
constexpr double max_start_queue_s = 0.15;
constexpr double start_bytes = 900.0;
constexpr std::size_t min_pending_starts = 16;

// Polls that are answered at once: a worker lists all its runs, after a loss of power a few dozen.
constexpr double poll_bytes = 2000.0;
// While ended runs are not stored, a worker answers each poll with the same list. An owner that can
// carry the fleet only in part asks less often; the poll after the store's answer comes at once.
constexpr common::duration slow_ended_poll_pause = std::chrono::milliseconds(700);

std::size_t messages_on_link(double link_mbps, double bytes) {
    constexpr double bytes_per_megabit = 125'000.0;
    if (link_mbps <= 0.0) {
        return 0;
    }
    return std::max(min_pending_starts, static_cast<std::size_t>(link_mbps * bytes_per_megabit *
                                                                 max_start_queue_s / bytes));
}

std::size_t max_pending_starts(double link_mbps, std::size_t connections) {
    const auto on_link = messages_on_link(link_mbps, start_bytes);
    return on_link == 0 ? connections : std::min(on_link, connections);
}

// Starts that one turn of the loop may decide: they take a tenth of a second or two of the
// processor time that the node has.
std::size_t max_starts_per_turn(double cpu_share) {
    constexpr double starts_per_core = 2000.0;
    constexpr double least = 64.0;
    return static_cast<std::size_t>(std::max(least, cpu_share * starts_per_core));
}

// Each order under way has a connection: those that are paced, and as many other starts. The rest
// is for polls, the store, peers and clients.
std::size_t max_paced_orders(std::int64_t max_fds) {
    constexpr std::int64_t fds_of_files = 200;
    constexpr std::int64_t divisor = 3;
    constexpr std::int64_t least = 64;
    constexpr std::size_t without_limit = 2000;
    return max_fds == 0
               ? without_limit
               : static_cast<std::size_t>(std::max(least, (max_fds - fds_of_files) / divisor));
}

// The rest is for the jobs, their runs and the messages of clients.
std::int64_t max_start_memory(std::int64_t memory) {
    constexpr std::int64_t divisor = 16;
    return memory / divisor;
}

std::size_t max_pending_polls(double link_mbps) {
    return messages_on_link(link_mbps, poll_bytes);
}

// The rest is for the process itself, for the runs on the workers, and for the records of the jobs
// while an owner loads them.
constexpr std::int64_t job_memory_divisor = 4;

std::int64_t memory_for_jobs(std::int64_t memory) {
    return memory / job_memory_divisor;
}

// Runs that an owner holds in five sixteenths of its memory. The largest gang fits into what jobs
// with many runs may take, three quarters of them.
std::size_t max_runs(std::int64_t memory) {
    constexpr std::int64_t run_bytes = 900;
    constexpr std::int64_t parts = 16;
    constexpr std::int64_t parts_for_runs = 5;
    constexpr std::int64_t least = 27'000;
    return memory == 0 ? 0
                       : static_cast<std::size_t>(
                             std::max(least, memory / parts * parts_for_runs / run_bytes));
}

node_capability capability_of(const node_settings& settings) {
    const auto& resources = settings.requests.resources;
    return {settings.cpu_share, settings.link_mbps, resources.memory, resources.max_fds};
}

// Without a link speed the ownership goes by the processor alone, as before, and is not handed
// over.
std::optional<node_capability> comparable_capability(const node_settings& settings) {
    return settings.link_mbps > 0.0 ? std::optional(capability_of(settings)) : std::nullopt;
}

std::uint64_t random_process_number() {
    std::random_device source;
    // 53 bits: JSON readers that use double represent the number exactly.
    return ((std::uint64_t{source()} << 21U) ^ source()) & ((std::uint64_t{1} << 53U) - 1);
}

// One line for all defects of a version, because there may be thousands.
void log_customer_defects(const service_configuration& configuration) {
    const auto& defects = configuration.customers.defects();
    if (!defects.empty()) {
        log_event(severity::error, "customers_defective",
                  {{"version", configuration.version},
                   {"defects", defects.size()},
                   {"first", customers::customer_defect_names.name(defects.front().defect)},
                   {"customer", defects.front().customer}});
    }
}

net::http_client_limits client_limits(const std::shared_ptr<net::request_guard>& guard) {
    net::http_client_limits limits;
    limits.guard = guard;
    limits.connect_timeout = std::chrono::milliseconds(600);
    return limits;
}

net::http_server_limits server_limits(const net::request_settings& settings,
                                      const std::shared_ptr<net::request_guard>& guard) {
    net::http_server_limits limits;
    limits.request = settings.limits;
    limits.idle_timeout = settings.idle_timeout;
    limits.max_connections = 1500;
    limits.guard = guard;
    return limits;
}

} // namespace

void node_application::readiness_handler::handle(net::http_request request, net::http_reply reply) {
    if (request.path() == "/metrics") {
        net::http_response response;
        response.fields.set("Content-Type", "text/plain");
        response.body = m_node.m_counters.render();
        reply(std::move(response));
        return;
    }
    const bool ready = m_node.ready();
    reply(net::json_response(ready ? 200 : 503, ready ? "{}" : "{\"ready\":false}"));
}

node_application::node_application(node_settings settings, net::event_loop& loop,
                                   common::clock& clock, common::counters& counters)
    : m_settings(std::move(settings)),
      m_loop(loop),
      m_clock(clock),
      m_counters(counters),
      m_process(random_process_number()),
      m_guard(net::make_request_guard(m_settings.requests.resources, counters)),
      m_client(loop, client_limits(m_guard)),
      m_platform(platform_registry::instance().make(
          m_settings.adapter,
          platform_context{m_client, counters, m_settings.store, m_settings.advice,
                           store_page_time(m_settings.link_mbps)})),
      m_health(clock),
      m_store(m_platform->store(), m_health),
      m_directory(m_settings.state_retention),
      m_relay(m_client, m_store, m_health, [this] { return m_peers.relay_peer(); }),
      m_intake(m_store, m_relay, m_health, loop, clock, counters, m_settings.max_store_value_bytes),
      m_admission(memory_for_jobs(m_settings.requests.resources.memory)),
      m_peers(make_peer_environment()),
      m_callers(make_caller_environment()),
      m_readiness(*this),
      m_placement(comparable_capability(m_settings)) {
    m_loop.set_failure_handler([this] { on_task_failed(); });
}

node_application::~node_application() = default;

peer_exchange::environment node_application::make_peer_environment() {
    return {m_loop,
            m_client,
            m_clock,
            m_counters,
            m_directory,
            m_platform->advice(),
            m_platform->workers(),
            m_relay,
            m_settings.id,
            m_settings.peers,
            [this](const std::string& node, const net::endpoint& address) {
                if (m_controller) {
                    m_controller->on_peer_seen(node, address);
                }
            },
            [this](const std::string& node) {
                if (m_controller) {
                    m_controller->on_peer_lost(node);
                }
            },
            [this] { return owner_pending(); },
            [this](const owner_record& owner, bool ended) {
                m_election->on_owner_suspected(owner, ended);
            },
            &m_admission,
            comparable_capability(m_settings),
            [this] { return may_claim(); },
            [this](const fleet_size& fleet) { on_fleet(fleet); },
            [this](std::uint64_t fence) { m_election->on_owner_alive(fence); }};
}

caller_api::environment node_application::make_caller_environment() {
    return {m_clock,
            m_counters,
            m_platform->format(),
            m_directory,
            m_intake,
            [this] { return m_configuration ? &*m_configuration : nullptr; },
            [this]() -> std::optional<pending_counts> {
                auto report = owner_pending();
                return report ? std::optional(std::move(report->counts)) : std::nullopt;
            },
            m_settings.id,
            [this](const std::string& job,
                   std::function<void(std::optional<dispatch::known_state>)> complete) {
                m_peers.ask_state(job, std::move(complete));
            },
            &m_admission};
}

std::optional<pending_report> node_application::owner_pending() const {
    return m_controller ? m_controller->pending() : std::nullopt;
}

owner_environment node_application::make_owner_environment(std::uint64_t fence) {
    dispatch::dispatcher_settings dispatcher;
    dispatcher.owner = owner_name(m_settings.id, m_settings.peers);
    dispatcher.leases.lease = std::min<common::duration>(m_settings.lease, preferred_lease);
    dispatcher.leases.max_lease = m_settings.lease;
    dispatcher.cancel_bound = m_settings.cancel_bound;
    dispatcher.drain_bound = m_settings.drain_bound;
    dispatcher.order = dispatch::placement_order_names.value(m_settings.order);
    dispatcher.learning = {m_settings.learn_speeds, m_settings.learn_interference};
    dispatcher.max_record_bytes = m_settings.max_store_value_bytes;
    dispatcher.max_starts_per_turn = max_starts_per_turn(m_settings.cpu_share);
    dispatcher.max_paced_orders = max_paced_orders(m_settings.requests.resources.max_fds);
    dispatcher.max_pending_starts =
        max_pending_starts(m_settings.link_mbps, dispatcher.max_paced_orders);
    dispatcher.max_start_memory = max_start_memory(m_settings.requests.resources.memory);
    dispatcher.max_runs = max_runs(m_settings.requests.resources.memory);
    const bool may_shed = m_settings.link_mbps > 0.0 &&
                          suitability_of(capability_of(m_settings), m_fleet).value < 1.0;
    if (may_shed) {
        dispatcher.max_pending_polls = max_pending_polls(m_settings.link_mbps);
        dispatcher.ended_poll_pause = slow_ended_poll_pause;
    }
    return {m_loop,
            m_clock,
            m_counters,
            m_store,
            m_health,
            *m_platform,
            m_directory,
            dispatcher,
            m_settings.state_retention,
            m_settings.id,
            [this](const std::string& node, const dispatch::advice_call& call,
                   std::function<void(dispatch::advice_result)> complete) {
                m_peers.ask_advice(node, call.request, call.expected, std::move(complete));
            },
            [this](const net::endpoint& worker, const dispatch::poll_order& order,
                   std::function<void(dispatch::poll_result)> complete) {
                m_peers.poll_worker(worker, order, std::move(complete));
            },
            [this] { return m_election->may_act(); },
            [this, fence](std::string_view reason) {
                if (m_election) {
                    m_election->mark_lost(reason, fence);
                }
            },
            [this] { m_peers.notify_peers(); },
            store_page_time(m_settings.link_mbps),
            may_shed};
}

void node_application::start() {
    const auto limits = server_limits(m_settings.requests, m_guard);
    m_caller_server =
        std::make_unique<net::http_server>(m_loop, m_settings.callers, limits, m_callers);
    m_readiness_server =
        std::make_unique<net::http_server>(m_loop, m_settings.readiness, limits, m_readiness);
    m_peer_server = std::make_unique<net::http_server>(m_loop, m_settings.peers, limits, m_peers);
    log_event(severity::info, "serving",
              {{"callers", net::to_string(m_settings.callers)},
               {"peers", net::to_string(m_settings.peers)},
               {"store", net::to_string(m_settings.store)},
               {"version", BTS_VERSION}});
    watch_configuration();
    start_election();
    tick();
}

void node_application::watch_configuration() {
    const auto key = m_platform->format().configuration_key();
    prefix_watcher::listener receiver;
    receiver.on_snapshot = [this, key](const std::vector<store_item>& items, std::uint64_t) {
        for (const auto& item : items) {
            if (item.key == key) {
                on_configuration(item);
            }
        }
    };
    receiver.on_events = [this, key](const std::vector<dispatch::store_event>& events) {
        for (const auto& event : events) {
            if (!event.removed && event.item.key == key) {
                on_configuration(event.item);
            }
        }
    };
    m_configuration_watcher = std::make_shared<prefix_watcher>(
        m_store, m_loop, watch_settings{key, configuration_wait, {}}, std::move(receiver));
    m_configuration_watcher->start();
}

void node_application::on_configuration(const store_item& item) {
    try {
        auto configuration = m_platform->format().read_configuration(item.value);
        if (m_configuration && configuration.version <= m_configuration->version) {
            return;
        }
        log_event(severity::info, "configuration_in_force",
                  {{"version", configuration.version},
                   {"routes", configuration.routes.size()},
                   {"customers", configuration.customers.all().size()},
                   {"revision", item.revision}});
        log_customer_defects(configuration);
        m_configuration = std::move(configuration);
        const auto limits = limits_in_force(m_settings.requests, m_configuration->limits);
        m_caller_server->set_limits(limits.limits, limits.idle_timeout);
    } catch (const common::error& e) {
        log_event(severity::error, "configuration_unreadable",
                  {{"revision", item.revision}, {"reason", e.what()}});
        return;
    }
    if (m_controller) {
        m_controller->on_configuration(m_configuration->queues(), m_configuration->customers.all());
    }
    if (m_election) {
        m_election->set_candidate(true);
    }
}

// A node that the store turns away learns changes of the routes and keys from the store through
// another node. The watch itself retries and takes over again.
void node_application::read_configuration_through_peer() {
    if (m_stopping || !m_health.last_call_failed() || !m_relay.available()) {
        return;
    }
    m_relay.read(m_platform->format().configuration_key(),
                 [this](const dispatch::store_result& result) {
                     if (result.status == dispatch::store_status::ok && !result.items.empty()) {
                         on_configuration(result.items.front());
                     }
                 });
}

void node_application::start_election() {
    owner_election::listener receiver;
    receiver.on_elected = [this](const owner_record& owner) { on_elected(owner); };
    receiver.on_ownership_lost = [this](std::string_view) { on_ownership_lost(); };
    receiver.on_owner_changed = [this](const std::optional<owner_record>& owner) {
        on_owner_changed(owner);
    };
    receiver.on_renewals_failing = [this](const owner_record& owner) {
        release_through_peer(owner);
    };
    election_settings settings;
    settings.node = m_settings.id;
    settings.process = m_process;
    settings.address = m_settings.peers;
    settings.claim_delay = claim_delay_of(capability_of(m_settings), m_fleet);
    settings.lease = std::max<common::duration>(settings.lease, m_settings.min_store_lease);
    m_election = std::make_shared<owner_election>(m_store, m_loop, settings, std::move(receiver));
    m_election->start();
    m_election->set_candidate(m_configuration.has_value());
}

void node_application::on_elected(const owner_record& owner) {
    m_peers.set_followed_owner(std::nullopt);
    m_peers.set_owned_fence(owner.fence);
    m_controller =
        std::make_shared<owner_controller>(make_owner_environment(owner.fence), owner.fence);
    m_placement.on_term_begun(m_clock.now());
    log_suitability(owner.fence);
    m_controller->on_peer_seen(m_settings.id, m_settings.peers);
    m_controller->begin(m_configuration->queues(), m_configuration->customers.all());
}

void node_application::log_suitability(std::uint64_t fence) {
    const auto capability = capability_of(m_settings);
    const auto suitability = suitability_of(capability, m_fleet);
    const auto percent = static_cast<std::int64_t>(suitability.value * 100.0);
    m_counters.get("owner_suitability_percent").set(percent);
    log_event(severity::info, "owner_suitability",
              {{"fence", fence},
               {"suitability_percent", percent},
               {"shortest", node_resource_names.name(suitability.shortest)},
               {"cpu_share", std::to_string(capability.cpu_share)},
               {"link_mbps", std::to_string(capability.link_mbps)},
               {"memory_mb", capability.memory >> 20U},
               {"max_fds", capability.max_fds},
               {"workers", m_fleet.workers},
               {"jobs", m_fleet.jobs},
               {"claim_delay_ms", common::to_milliseconds(claim_delay_of(capability, m_fleet))}});
}

bool node_application::may_claim() const {
    return ready() && !m_health.last_call_failed();
}

void node_application::on_fleet(const fleet_size& fleet) {
    m_fleet = fleet;
    if (m_election) {
        m_election->set_claim_delay(claim_delay_of(capability_of(m_settings), fleet));
    }
}

void node_application::check_placement() {
    if (!m_controller || m_stopping || m_handing_over || m_placement_check_pending) {
        return;
    }
    const auto target = m_placement.choose_successor(m_clock.now(), m_fleet, m_peers.candidates());
    if (!target) {
        return;
    }
    if (m_controller->is_quiet() && !m_health.last_call_failed() &&
        m_health.time_since_answer() < max_hand_over_silence) {
        hand_over(*target);
        return;
    }
    m_placement_check_pending = true;
    m_loop.post_after(quiet_check_interval, [this] {
        m_placement_check_pending = false;
        check_placement();
    });
}

void node_application::hand_over(const owner_placement::target& target) {
    m_handing_over = true;
    const auto fence = m_controller->fence();
    const auto own = suitability_of(capability_of(m_settings), m_fleet);
    m_placement.on_handed_over(m_clock.now());
    m_counters.get("owner_hand_overs_total").add();
    log_event(severity::info, "owner_hands_over",
              {{"fence", fence},
               {"to", target.node},
               {"suitability_percent", static_cast<std::int64_t>(own.value * 100.0)},
               {"shortest", node_resource_names.name(own.shortest)},
               {"other_percent", static_cast<std::int64_t>(target.suitability * 100.0)},
               {"workers", m_fleet.workers},
               {"jobs", m_fleet.jobs}});
    const auto finish = [this, fence, finished = std::make_shared<bool>(false)] {
        if (std::exchange(*finished, true)) {
            return;
        }
        m_handing_over = false;
        // A planned stop resigns by itself.
        if (!m_stopping) {
            m_election->hand_over(fence);
        }
    };
    m_controller->drain(finish);
    m_loop.post_after(max_hand_over_time, finish);
}

void node_application::release_through_peer(const owner_record& owner) {
    if (!m_relay.available()) {
        return;
    }
    // If no node reaches the store, the relay fails as well and the ownership is kept.
    dispatch::store_commit change;
    change.expect.push_back({std::string(owner_key), owner.fence});
    change.remove.emplace_back(owner_key);
    m_relay.commit(change, [this, fence = owner.fence](const dispatch::store_result& result) {
        if (result.status == dispatch::store_status::ok) {
            log_event(severity::warning, "owner_handed_over", {{"fence", fence}});
            m_election->mark_lost("store_unreachable", fence);
        }
    });
}

// The state of the ownership may be inconsistent after a failure in the middle of a change; another
// node, or this one with a new term, builds it from the store.
void node_application::on_task_failed() {
    m_counters.get("task_failures_total").add();
    if (m_election) {
        m_election->mark_lost("internal_error");
    }
}

void node_application::on_ownership_lost() {
    m_peers.set_owned_fence(std::nullopt);
    if (m_controller) {
        m_controller->end();
        m_directory.remove_unfollowed(m_settings.id);
        // on_ownership_lost may be called from within the controller; it is released after that
        // call has returned.
        m_loop.post([ended = std::exchange(m_controller, nullptr)] {});
    }
}

void node_application::on_owner_changed(const std::optional<owner_record>& owner) {
    const bool own = owner && owner->node == m_settings.id && owner->process == m_process;
    m_peers.set_followed_owner(own ? std::nullopt : owner);
}

void node_application::log_store_health_change() {
    const bool reachable =
        m_health.has_answered() && m_health.time_since_answer() < max_store_silence;
    if (reachable != m_store_reachable) {
        m_store_reachable = reachable;
        log_event(reachable ? severity::info : severity::warning,
                  reachable ? "store_regained" : "store_lost", {});
    }
}

bool node_application::ready() const {
    return m_configuration && !m_stopping && m_health.has_answered() &&
           m_health.time_since_answer() < max_store_silence;
}

void node_application::tick() {
    const auto now = m_clock.now();
    m_directory.expire(now);
    m_peers.expire_peers(now);
    if (const auto report = owner_pending()) {
        m_admission.set_headroom(m_peers.headroom(report->job_memory));
        // Each node may become the owner.
        m_controller->set_max_runs(max_runs(m_peers.smallest_job_limit() * job_memory_divisor));
        on_fleet(report->fleet);
    }
    log_store_health_change();
    read_configuration_through_peer();
    check_placement();
    m_loop.post_after(tick_interval, [this] { tick(); });
}

void node_application::stop(std::promise<void>& done) {
    m_stopping = true;
    log_event(severity::info, "draining", {});
    m_caller_server->stop_accepting();
    m_configuration_watcher->stop();
    const auto resign = [this, &done] {
        m_election->resign([this, &done] {
            on_ownership_lost();
            done.set_value();
        });
    };
    if (m_controller) {
        m_controller->drain(resign);
        return;
    }
    resign();
}

std::size_t node_application::requests_in_progress() const {
    return m_caller_server->requests_in_progress();
}

} // namespace buckthornspar::service
