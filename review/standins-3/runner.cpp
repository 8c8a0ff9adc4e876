// A runner of the platform. What a task does stands in its spec, before the first semicolon, as
// words "name=value": "work" its time in milliseconds; "odd-fails" with a time: tasks with an odd
// index fail in their first run, and work for that time in the later ones; "gang" the number of
// members of a gang: a run ends "alone" when not all have begun 3 s after it.

#include "net.h"

#include <boost/json/src.hpp>

#include <atomic>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

namespace {

namespace json = boost::json;
using namespace review;

constexpr std::int64_t stop_ms = 60;
constexpr std::int64_t gang_ms = 3000;
constexpr std::size_t max_listed_ends = 500;

struct run_id {
    std::string task;
    std::int64_t run = 0;
    auto operator<=>(const run_id&) const = default;
};

struct active_run {
    std::int64_t begun = 0;
    std::int64_t ends = 0;
    std::string how;
    std::int64_t members = 0;
    std::string gang;
};

struct ended {
    std::int64_t number = 0;
    run_id run;
    std::string how;
};

struct waiting_hold {
    std::int64_t until = 0;
    server::reply answer;
};

class runner {
public:
    explicit runner(const options& given)
        : m_id(given.text("id")),
          m_address(given.text("listen")),
          m_zone(given.text("zone", "one")),
          m_label(given.text("label", "a")),
          m_cpu(given.number("cpu", 64000)),
          m_mem_mb(given.number("mem-mb", 131072)),
          m_hold_max_ms(given.number("hold-max-ms", 6000)),
          m_started(steady_ms()),
          m_born(unix_ms() + given.number("clock-ahead-ms", 0)),
          m_marks(given.text("marks")),
          m_log(given.text("log"), std::ios::app) {
        m_log << unix_ms() << ' ' << m_id << " born " << m_born << std::endl;
    }

    std::int64_t clock() const { return steady_ms() - m_started; }

    std::string entry() const {
        return json::serialize(json::object{
            {"service", "work"},
            {"address", m_address},
            {"zone", m_zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"capacity", json::object{{"cpu", m_cpu}, {"mem_mb", m_mem_mb}, {"gpu", 0}}},
            {"labels", json::array{m_label, "r1-1"}},
            {"clock_ms", clock()},
            {"born", m_born},
            {"seq", ++m_sequence}});
    }

    void handle(const message& request, const server::reply& answer) {
        const auto path = request.path();
        if (path == "/healthz") {
            answer(200, "{}");
            return;
        }
        const auto expected = request.field("buckthornspar-expect-instance");
        if (!expected.empty() && expected != m_id) {
            answer(421, "{}");
            return;
        }
        try {
            const auto value = json::parse(request.body);
            const auto& body = value.as_object();
            if (path == "/v1/run-start") {
                start(body, answer);
            } else if (path == "/v1/run-stop") {
                stop(body, answer);
            } else if (path == "/v1/hold") {
                hold(body, answer);
            } else {
                answer(404, "{}");
            }
        } catch (const std::exception& e) {
            answer(400, "{}");
        }
    }

    void on_time() {
        const auto now = clock();
        check_gangs(now);
        while (!m_due.empty() && m_due.begin()->first <= now) {
            const auto run = m_due.begin()->second;
            m_due.erase(m_due.begin());
            const auto found = m_running.find(run);
            if (found != m_running.end() && found->second.ends <= now) {
                end(found, found->second.how);
            }
        }
        if (!m_running.empty() && now >= m_lease_until) {
            while (!m_running.empty()) {
                end(m_running.begin(), "lapsed");
            }
        }
        for (auto at = m_holds.begin(); at != m_holds.end();) {
            if (!m_ended.empty() || now >= at->until) {
                const auto answer = at->answer;
                at = m_holds.erase(at);
                answer(200, lists());
            } else {
                ++at;
            }
        }
    }

private:
    static std::int64_t number(const json::object& body, const char* name) {
        const auto* const value = body.if_contains(name);
        return value == nullptr ? 0 : value->to_number<std::int64_t>();
    }

    static std::int64_t word(const std::string& spec, const std::string& name) {
        const auto words = " " + spec.substr(0, spec.find(';'));
        const auto at = words.find(" " + name + "=");
        return at == std::string::npos ? -1 : std::atoll(words.c_str() + at + name.size() + 2);
    }

    std::string clocks(const std::string& reason = "") const {
        return "{\"clock_ms\":" + std::to_string(clock()) +
               (reason.empty() ? "" : ",\"reason\":\"" + reason + "\"") + "}";
    }

    bool obeys(const json::object& body) {
        const auto fence = number(body, "fence");
        if (fence < m_fence) {
            return false;
        }
        m_fence = fence;
        return true;
    }

    void extend(const json::object& body) {
        const auto until = number(body, "until_ms");
        if (until > 0) {
            if (clock() >= m_lease_until) {
                m_ends_before_lapse = m_last_end;
            }
            m_lease_until = std::max(m_lease_until, std::min(until, clock() + m_hold_max_ms));
        }
    }

    void start(const json::object& body, const server::reply& answer) {
        const run_id run{json::value_to<std::string>(body.at("task")), number(body, "run")};
        if (!obeys(body)) {
            answer(409, clocks("fence"));
            return;
        }
        if (number(body, "until_ms") < clock()) {
            answer(409, clocks("late"));
            return;
        }
        extend(body);
        if (m_running.contains(run)) {
            answer(200, clocks());
            return;
        }
        const auto over = m_over.find(run.task);
        if (over != m_over.end() && run.run <= over->second) {
            answer(409, clocks("old"));
            return;
        }
        const auto spec = json::value_to<std::string>(body.at("spec"));
        active_run active;
        active.begun = clock();
        active.how = "done";
        auto work = std::max<std::int64_t>(0, word(spec, "work"));
        const auto odd_fails = word(spec, "odd-fails");
        const bool odd = (run.task.back() - '0') % 2 == 1;
        if (odd && odd_fails >= 0) {
            const bool first = begins_first(run.task);
            active.how = first ? "failed" : "done";
            work = first ? work : odd_fails;
        }
        if (const auto members = word(spec, "gang"); members > 0) {
            active.members = members;
            active.gang = m_marks + "/" + run.task.substr(0, run.task.rfind('.')) + "-" +
                          std::to_string(run.run);
            std::filesystem::create_directory(active.gang);
            const std::ofstream mark(active.gang + "/" + run.task.substr(run.task.rfind('.') + 1));
            m_gang_checks.emplace(active.begun + gang_ms, run);
        }
        active.ends = active.begun + work;
        m_due.emplace(active.ends, run);
        m_running.emplace(run, active);
        m_log << unix_ms() << ' ' << m_id << " start " << run.task << ' ' << run.run << std::endl;
        answer(200, clocks());
    }

    void check_gangs(std::int64_t now) {
        while (!m_gang_checks.empty() && m_gang_checks.begin()->first <= now) {
            const auto run = m_gang_checks.begin()->second;
            m_gang_checks.erase(m_gang_checks.begin());
            const auto found = m_running.find(run);
            if (found == m_running.end()) {
                continue;
            }
            auto& present = m_present[found->second.gang];
            if (present < found->second.members) {
                const std::filesystem::directory_iterator begun(found->second.gang);
                present = std::distance(std::filesystem::begin(begun), std::filesystem::end(begun));
            }
            if (present < found->second.members) {
                end(found, "alone");
            }
        }
    }

    // Whether no runner has begun the task yet: the first leaves a mark in a folder that all share.
    bool begins_first(const std::string& task) const {
        const int mark = ::open((m_marks + "/" + task).c_str(), O_CREAT | O_EXCL | O_WRONLY, 0600);
        if (mark >= 0) {
            ::close(mark);
        }
        return mark >= 0;
    }

    void stop(const json::object& body, const server::reply& answer) {
        const run_id run{json::value_to<std::string>(body.at("task")), number(body, "run")};
        if (!obeys(body)) {
            answer(409, clocks("fence"));
            return;
        }
        auto& over = m_over[run.task];
        over = std::max(over, run.run);
        const auto found = m_running.find(run);
        if (found != m_running.end() && found->second.ends > clock() + stop_ms) {
            found->second.ends = clock() + stop_ms;
            found->second.how = "stopped";
            m_due.emplace(found->second.ends, run);
        }
        answer(200, clocks());
    }

    void hold(const json::object& body, const server::reply& answer) {
        if (!obeys(body)) {
            answer(409, clocks("fence"));
            return;
        }
        extend(body);
        const auto last_seen = number(body, "last_seen");
        while (!m_ended.empty() && m_ended.front().number <= last_seen) {
            // An end is not taken note of when the lease lapsed after it.
            const bool lapsed = m_ended.front().number <= m_ends_before_lapse;
            m_log << unix_ms() << ' ' << m_id << (lapsed ? " forgot " : " noted ")
                  << m_ended.front().run.task << ' ' << m_ended.front().run.run << ' '
                  << m_ended.front().how << std::endl;
            m_ended.pop_front();
        }
        const auto wait = number(body, "wait_ms");
        if (wait <= 0 || !m_ended.empty()) {
            answer(200, lists());
            return;
        }
        m_holds.push_back({clock() + wait, answer});
    }

    void end(std::map<run_id, active_run>::iterator active, std::string how) {
        const auto run = active->first;
        m_running.erase(active);
        auto& over = m_over[run.task];
        over = std::max(over, run.run);
        m_log << unix_ms() << ' ' << m_id << " end " << run.task << ' ' << run.run << ' ' << how
              << std::endl;
        m_ended.push_back({++m_last_end, run, std::move(how)});
    }

    std::string lists() {
        m_log.flush();
        const auto now = clock();
        std::string body = "{\"clock_ms\":" + std::to_string(now) +
                           ",\"born\":" + std::to_string(m_born) + ",\"running\":[";
        bool first = true;
        for (const auto& [run, active] : m_running) {
            const auto whole = std::max<std::int64_t>(1, active.ends - active.begun);
            body +=
                (first ? "[\"" : ",[\"") + run.task + "\"," + std::to_string(run.run) + ",\"\"," +
                std::to_string(std::min<std::int64_t>(100, (now - active.begun) * 100 / whole)) +
                ",0]";
            first = false;
        }
        body += "],\"ended\":[";
        std::size_t listed = 0;
        for (const auto& one : m_ended) {
            if (listed == max_listed_ends) {
                break;
            }
            body += (listed++ == 0 ? "[" : ",[") + std::to_string(one.number) + ",\"" +
                    one.run.task + "\"," + std::to_string(one.run.run) + ",\"" + one.how +
                    "\",\"\"]";
        }
        return body + "]}";
    }

    std::string m_id;
    std::string m_address;
    std::string m_zone;
    std::string m_label;
    std::int64_t m_cpu;
    std::int64_t m_mem_mb;
    std::int64_t m_hold_max_ms;
    std::int64_t m_started;
    std::int64_t m_born;
    std::string m_marks;
    std::ofstream m_log;
    mutable std::int64_t m_sequence = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_lease_until = 0;
    std::int64_t m_last_end = 0;
    std::int64_t m_ends_before_lapse = 0;
    std::map<run_id, active_run> m_running;
    std::multimap<std::int64_t, run_id> m_due;
    std::multimap<std::int64_t, run_id> m_gang_checks;
    std::map<std::string, std::int64_t> m_present;
    std::map<std::string, std::int64_t> m_over;
    std::deque<ended> m_ended;
    std::list<waiting_hold> m_holds;
};

} // namespace

int main(int count, char** words) {
    const options given(count, words);
    runner self(given);
    server http(parse_address(given.text("listen")),
                [&self](const message& request, const server::reply& answer) {
                    self.handle(request, answer);
                });
    // Another thread writes the entries, so that a slow store does not hold up the runs.
    std::mutex entry_lock;
    std::string entry = self.entry();
    const auto beat_ms = given.number("heartbeat-ms", 1500);
    std::thread([&] {
        client store(parse_address(given.text("store")));
        while (true) {
            std::string body;
            {
                const std::lock_guard<std::mutex> lock(entry_lock);
                body = entry;
            }
            const auto answer =
                store.call("POST", "/standin/beat?id=" + given.text("id"), "", body, 1000);
            std::this_thread::sleep_for(
                std::chrono::milliseconds(answer.status == 200 ? beat_ms : 200));
        }
    }).detach();
    std::cout << "listening" << std::endl;
    std::int64_t next_entry = 0;
    while (true) {
        http.run_until(steady_ms() + 2);
        self.on_time();
        if (steady_ms() >= next_entry) {
            next_entry = steady_ms() + beat_ms / 2;
            const std::lock_guard<std::mutex> lock(entry_lock);
            entry = self.entry();
        }
    }
}
