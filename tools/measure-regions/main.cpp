// Measures the propagation time and the traffic of configuration versions across three regions,
// with processes on loopback and relays between the regions. scripts/measure-capacity runs it.

#include "core/common/command_line.h"
#include "core/common/rng.h"
#include "process/cluster.h"
#include "process/version_log.h"

#include <boost/json.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iostream>
#include <limits>
#include <mutex>
#include <stdexcept>
#include <thread>

using namespace buckthornspar;
using namespace buckthornspar::process_test;
using namespace std::chrono_literals;
namespace json = boost::json;

namespace {

constexpr int regions = 3;
constexpr auto settle_time = 5s;
constexpr auto propagation_timeout = 15s;
constexpr auto patch_pause = 100ms;
/// Number of concurrent clients (operators and tools) in a burst of changes.
constexpr int burst_clients = 40;
constexpr auto burst_retry_limit = 60s;
/// Mean pause of a client before it retries a refused change.
constexpr double retry_pause_ms = 50;
constexpr double seconds_per_hour = 3600;
constexpr double us_per_ms = 1000;

struct accepted_change {
    std::int64_t version = 0;
    std::int64_t submitted_us = 0;
    std::int64_t answered_us = 0;
};

struct traffic {
    std::int64_t store_calls = 0;
    link_bytes bytes;
};

traffic operator-(const traffic& a, const traffic& b) {
    return {a.store_calls - b.store_calls,
            {a.bytes.to_store - b.bytes.to_store,
             a.bytes.between_processes - b.bytes.between_processes}};
}

std::string percentiles(const std::string& name, std::vector<double> values) {
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        const auto rank = std::ceil(share * static_cast<double>(values.size()));
        return values.at(static_cast<std::size_t>(std::max(rank, 1.0)) - 1);
    };
    return name + "_p50_ms=" + std::to_string(at(0.5)) + ' ' + name +
           "_p99_ms=" + std::to_string(at(0.99)) + ' ' + name +
           "_max_ms=" + std::to_string(values.back());
}

std::string patch_body(const std::string& id, std::int64_t base, int number) {
    constexpr int teams = 50;
    const json::object value{
        {"cpu_milli", 1000 + number}, {"memory_mb", 1024}, {"accelerators", 0}};
    const json::array changes{
        json::object{{"op", "set"},
                     {"path", "quotas/team-" + std::to_string(number % teams)},
                     {"value", value}}};
    return json::serialize(json::object{
        {"id", id}, {"author", "bench"}, {"base_version", base}, {"changes", changes}});
}

class measurement {
public:
    measurement(int processes, std::uint64_t seed, std::string commit)
        : m_processes_per_role(processes / regions),
          m_settings("processes=" + std::to_string(processes) + " one_way_ms=20"),
          m_seed(seed),
          m_commit(std::move(commit)),
          m_cluster({.workers = 0,
                     .runners = 0,
                     .entries = m_processes_per_role,
                     .schedulers = m_processes_per_role,
                     .configs = m_processes_per_role,
                     .regions = regions,
                     .instance_poll_ms = 500,
                     .heartbeat_ms = 1000}) {
        for (const char* const role : {"config", "scheduler", "entry"}) {
            const auto members = m_cluster.of_role(role);
            m_servers.insert(m_servers.end(), members.begin(), members.end());
        }
        std::this_thread::sleep_for(settle_time);
    }

    void measure_idle(int seconds) {
        const traffic before = current_traffic();
        std::this_thread::sleep_for(std::chrono::seconds(seconds));
        const traffic used = current_traffic() - before;
        m_quiet_seconds = seconds;
        m_quiet = used;
        const double hours = seconds / seconds_per_hour;
        emit("quiet", "seconds=" + std::to_string(seconds),
             "store_calls_per_s=" + ratio(used.store_calls, seconds) +
                 " store_bytes_per_hour=" + ratio(used.bytes.to_store, hours) +
                 " process_bytes_per_hour=" + ratio(used.bytes.between_processes, hours));
    }

    void measure_single_changes(int count) {
        const traffic before = current_traffic();
        const auto start = std::chrono::steady_clock::now();
        std::vector<accepted_change> changes;
        std::int64_t version = last_version(m_servers.front()->process.log());
        for (int i = 0; i < count; ++i) {
            const auto change =
                submit(i % m_processes_per_role, "single-" + std::to_string(i), version, i);
            if (change.version == 0) {
                throw std::runtime_error("configuration change refused");
            }
            version = change.version;
            changes.push_back(change);
            wait_until_in_force(version);
            std::this_thread::sleep_for(patch_pause);
        }
        report("single", "changes=" + std::to_string(count), changes, before, start, "");
    }

    void measure_burst(int rate, int seconds) {
        const traffic before = current_traffic();
        const auto start = std::chrono::steady_clock::now();
        m_base = last_version(m_servers.front()->process.log());
        std::vector<std::thread> clients;
        clients.reserve(burst_clients);
        for (int i = 0; i < burst_clients; ++i) {
            clients.emplace_back(
                [this, i, rate, seconds, start] { run_client(i, rate, rate * seconds, start); });
        }
        for (auto& client : clients) {
            client.join();
        }
        const double elapsed_s =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        wait_until_in_force(m_base);
        report("burst",
               "rate=" + std::to_string(rate) + " seconds=" + std::to_string(seconds) +
                   " clients=" + std::to_string(burst_clients),
               m_accepted, before, start,
               " accepted=" + std::to_string(m_accepted.size()) + " conflicts=" +
                   std::to_string(m_conflicts) + " other_refusals=" + std::to_string(m_refusals) +
                   " given_up=" + std::to_string(m_given_up) +
                   " until_last_accepted_s=" + std::to_string(elapsed_s));
    }

    // Measures the size of a watch and its response, and calculates the traffic if every process
    // watched the store.
    void estimate_watch_cost(double changes_per_hour) {
        const auto& store = m_cluster.at("store").http;
        const auto relay = m_cluster.links().relay("measure", "r1", store);
        const std::int64_t version = last_version(m_servers.front()->process.log());
        constexpr std::int64_t ring_slots = 64;
        const std::string slot = "/v1/kv/config/slot/" + std::to_string(version % ring_slots);
        const auto answered = bytes_of(relay, slot + "?index=0&wait=1500ms");
        const auto empty = bytes_of(relay, "/v1/kv/config/slot/999?index=0&wait=1500ms");
        constexpr double watch_seconds = 1.5;
        const double remote = m_processes_per_role * regions * (regions - 1.0) / regions;
        // After each change, the watch on the next slot returns immediately and is sent again.
        const double calls_per_change = 2.0 * m_processes_per_role * regions + 1;
        const double change_bytes = remote * static_cast<double>(answered + empty);
        const double quiet_bytes =
            remote * static_cast<double>(empty) * seconds_per_hour / watch_seconds;
        emit("every_process_watches", "calculated=1",
             "watch_answer_bytes=" + std::to_string(answered) +
                 " empty_watch_bytes=" + std::to_string(empty) + " store_calls_per_s=" +
                 std::to_string(m_processes_per_role * regions / watch_seconds) +
                 " store_calls_per_change=" + std::to_string(calls_per_change) +
                 " bytes_per_change=" + std::to_string(change_bytes) +
                 " quiet_bytes_per_hour=" + std::to_string(quiet_bytes) + " bytes_per_hour_at_" +
                 std::to_string(static_cast<int>(changes_per_hour)) +
                 "_changes=" + std::to_string(quiet_bytes + changes_per_hour * change_bytes));
    }

private:
    template <typename Count>
    static std::string ratio(Count count, double per) {
        return std::to_string(static_cast<double>(count) / per);
    }

    void emit(const std::string& part, const std::string& settings, const std::string& results) {
        std::cout << "benchmark=capacity-regions-" << part << " seed=" << m_seed
                  << " commit=" << m_commit << " settings " << m_settings << ' ' << settings
                  << " results " << results << std::endl;
    }

    traffic current_traffic() {
        traffic total;
        const auto& store = m_cluster.at("store").http;
        const json::value calls = m_cluster.http().get(store, "/v1/calls").json();
        for (const auto& [kind, count] : calls.at("calls").as_object()) {
            total.store_calls += count.as_int64();
        }
        total.bytes = m_cluster.links().bytes(store);
        return total;
    }

    std::int64_t bytes_of(const net::endpoint& relay, const std::string& target) {
        // Concurrent watches of the processes are counted too; the minimum excludes them.
        std::int64_t smallest = std::numeric_limits<std::int64_t>::max();
        for (int i = 0; i < 10; ++i) {
            const auto before = current_traffic();
            (void)m_cluster.http().get(relay, target);
            smallest = std::min(smallest, (current_traffic() - before).bytes.to_store);
        }
        return smallest;
    }

    accepted_change submit(int config, const std::string& id, std::int64_t base, int number) {
        const auto& to = m_cluster.at("config-" + std::to_string(config + 1)).http;
        accepted_change change;
        change.submitted_us = local_time_us();
        const auto result =
            m_cluster.http().post(to, "/v1/config/patches", patch_body(id, base, number));
        change.answered_us = local_time_us();
        if (result.status / 100 == 2) {
            change.version = std::stoll(result.text("version"));
            return change;
        }
        const std::lock_guard lock(m_mutex);
        ++(result.status == 409 ? m_conflicts : m_refusals);
        const std::string in_force = result.text("error.version_in_force");
        if (!in_force.empty()) {
            m_base = std::max(m_base, std::int64_t{std::stoll(in_force)});
        }
        return change;
    }

    void run_client(int client, int rate, int count, std::chrono::steady_clock::time_point start) {
        common::rng random(m_seed * burst_clients + static_cast<std::uint64_t>(client));
        const auto deadline = start + std::chrono::seconds(count / rate) + burst_retry_limit;
        for (int i = m_next_change++; i < count; i = m_next_change++) {
            std::this_thread::sleep_until(start + i * 1000ms / rate);
            submit_until_accepted(i, deadline, random);
        }
    }

    void submit_until_accepted(int number, std::chrono::steady_clock::time_point deadline,
                               common::rng& random) {
        const std::string id = "burst-" + std::to_string(number);
        const std::int64_t first_us = local_time_us();
        while (std::chrono::steady_clock::now() < deadline) {
            auto change = submit(number % m_processes_per_role, id, base(), number);
            if (change.version != 0) {
                change.submitted_us = first_us;
                const std::lock_guard lock(m_mutex);
                m_base = std::max(m_base, change.version);
                m_accepted.push_back(change);
                return;
            }
            std::this_thread::sleep_for(
                std::chrono::duration<double, std::milli>(random.exponential(retry_pause_ms)));
        }
        ++m_given_up;
    }

    std::int64_t base() {
        const std::lock_guard lock(m_mutex);
        return m_base;
    }

    void wait_until_in_force(std::int64_t version) {
        const bool reached = wait_until(
            [&] {
                return std::all_of(m_servers.begin(), m_servers.end(), [&](const member* server) {
                    return last_version(server->process.log()) >= version;
                });
            },
            propagation_timeout);
        if (!reached) {
            throw std::runtime_error("configuration version not in force on all processes in time" +
                                     m_cluster.logs());
        }
    }

    void report(const std::string& part, const std::string& settings,
                const std::vector<accepted_change>& changes, const traffic& before,
                std::chrono::steady_clock::time_point start, const std::string& extra_results) {
        const traffic used = current_traffic() - before;
        const double elapsed_s =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        const auto count = static_cast<double>(changes.size());
        const double quiet_share = m_quiet_seconds == 0 ? 0 : elapsed_s / m_quiet_seconds;
        const auto above_quiet = [&](std::int64_t sum, std::int64_t quiet) {
            return ratio(static_cast<double>(sum) - quiet_share * static_cast<double>(quiet),
                         count);
        };
        emit(part, settings,
             propagation_times(changes) + " store_calls_per_change=" +
                 above_quiet(used.store_calls, m_quiet.store_calls) + " store_bytes_per_change=" +
                 above_quiet(used.bytes.to_store, m_quiet.bytes.to_store) +
                 " process_bytes_per_change=" +
                 above_quiet(used.bytes.between_processes, m_quiet.bytes.between_processes) +
                 " store_calls_per_s=" + ratio(used.store_calls, elapsed_s) + extra_results);
    }

    // A process may skip versions: a version counts as in force once it or a later one is applied.
    std::string propagation_times(const std::vector<accepted_change>& changes) {
        std::vector<std::vector<version_seen>> seen;
        seen.reserve(m_servers.size());
        for (const member* const server : m_servers) {
            seen.push_back(versions_seen(server->process.log()));
        }
        std::vector<double> since_first;
        std::vector<double> since_submission;
        std::vector<double> answers;
        for (const auto& change : changes) {
            std::int64_t first = std::numeric_limits<std::int64_t>::max();
            std::int64_t last = 0;
            for (const auto& log : seen) {
                const auto line = std::find_if(log.begin(), log.end(), [&](const version_seen& s) {
                    return s.version >= change.version;
                });
                first = std::min(first, line->time_us);
                last = std::max(last, line->time_us);
            }
            since_first.push_back(static_cast<double>(last - first) / us_per_ms);
            since_submission.push_back(static_cast<double>(last - change.submitted_us) / us_per_ms);
            answers.push_back(static_cast<double>(change.answered_us - change.submitted_us) /
                              us_per_ms);
        }
        return percentiles("everywhere_after_first_process", since_first) + ' ' +
               percentiles("everywhere_after_submission", since_submission) + ' ' +
               percentiles("accepted_answer", answers);
    }

    int m_processes_per_role;
    std::string m_settings;
    std::uint64_t m_seed;
    std::string m_commit;
    cluster m_cluster;
    std::vector<member*> m_servers;
    int m_quiet_seconds = 0;
    traffic m_quiet;
    std::mutex m_mutex;
    std::atomic<int> m_next_change{0};
    std::int64_t m_base = 0;
    std::vector<accepted_change> m_accepted;
    std::int64_t m_conflicts = 0;
    std::int64_t m_refusals = 0;
    std::atomic<std::int64_t> m_given_up{0};
};

int number(const common::command_line& line, const std::string& name, const std::string& fallback) {
    return std::stoi(line.get(name, fallback));
}

} // namespace

int main(int argc, char** argv) {
    try {
        const common::command_line line(
            argc, argv,
            {{"processes", 'p', "N", "a multiple of 9, default 9"},
             {"seed", 's', "N", "seed of the pauses after conflicts, default 1"},
             {"commit", 'c', "TEXT", "measured commit, copied into the results"},
             {"changes", '\0', "N", "changes one after the other, default 100"},
             {"quiet-seconds", '\0', "N", "default 60"},
             {"burst-rate", '\0', "N", "changes a second, default 50"},
             {"burst-seconds", '\0', "N", "default 10"},
             {"changes-per-hour", '\0', "N", "for the calculated alternative, default 2333"}},
            "\nPropagation time and traffic of configuration versions across three regions.");
        measurement m(number(line, "processes", "9"),
                      static_cast<std::uint64_t>(number(line, "seed", "1")),
                      line.get("commit", "unknown"));
        m.measure_idle(number(line, "quiet-seconds", "60"));
        m.measure_single_changes(number(line, "changes", "100"));
        m.measure_burst(number(line, "burst-rate", "50"), number(line, "burst-seconds", "10"));
        m.estimate_watch_cost(number(line, "changes-per-hour", "2333"));
        return 0;
    } catch (const std::exception& e) {
        std::cerr << e.what() << "\n";
        return 1;
    }
}
