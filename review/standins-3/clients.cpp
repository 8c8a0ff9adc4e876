// Clients: ordinary ones hand in small jobs of two steps, and one may hand in large jobs. At the
// end the ordinary jobs are asked for, and the logs of the runners show what ran.

#include "net.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

namespace {

using namespace review;

constexpr std::int64_t deadline_ms = 3000;
constexpr int tries = 5;

std::mutex record_lock;

struct settings {
    std::vector<address> nodes;
    std::string queue;
    std::string large_queue;
    std::string kind;
    std::string label;
    std::int64_t large_jobs = 0;
    std::int64_t large_at_s = 0;
    std::int64_t large_gap_ms = 0;
    std::int64_t seconds = 0;
    std::int64_t gap_ms = 0;
    std::int64_t finish_s = 0;
    std::int64_t ask_s = 0;
    std::string logs;
    std::ofstream record;
};

struct job {
    std::string id;
    std::int64_t accepted_at = 0;
    std::string state;
};

std::string new_id() {
    static std::random_device source;
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", source(), source());
    return text;
}

void write(settings& s, const std::string& line) {
    const std::lock_guard<std::mutex> lock(record_lock);
    s.record << unix_ms() << ' ' << line << std::endl;
}

std::string fields() {
    return "Host: jobs.example\r\nContent-Type: application/json\r\nBuckthornspar-Deadline-Ms: " +
           std::to_string(deadline_ms) + "\r\n";
}

std::string target_of(const std::string& queue, const std::string& id) {
    std::string target = "/";
    target += queue;
    target += "/";
    target += id;
    return target;
}

// Like a client of the pages: after no answer, 429, 502, 503 or 504 it tries again, at another
// node.
bool submit(settings& s, const std::string& queue, const std::string& id, const std::string& body) {
    static std::atomic<std::size_t> turn{0};
    for (int attempt = 0; attempt < tries; ++attempt) {
        client to(s.nodes[turn++ % s.nodes.size()]);
        const auto answer = to.call("POST", target_of(queue, id), fields(), body, deadline_ms);
        write(s, "submit " + id + " of " + std::to_string(body.size()) +
                     " bytes: " + std::to_string(answer.status));
        if (answer.status / 100 == 2) {
            return true;
        }
        if (answer.status / 100 == 4 && answer.status != 429) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    return false;
}

std::string small_body(const std::string& requires_label) {
    const auto label =
        requires_label.empty() ? std::string() : R"(,"requires":")" + requires_label + R"(")";
    return R"({"spec":"work=300;","steps":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":300)" +
           label + R"(},{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":300,"after":[0])" + label +
           "}]}";
}

// A step of many small tasks; the spec has the size that the pages allow.
std::string many_tasks_body() {
    std::string spec = "work=20000;";
    spec += std::string(4000 - spec.size(), 'x');
    return R"({"spec":")" + spec +
           R"(","steps":[{"count":20000,"cpu":10,"mem_mb":10,"estimate_ms":20000}]})";
}

// Three times a step of many small tasks, half of which fail once.
std::string failing_body() {
    return R"({"spec":"work=50 odd-fails=90000;","steps":[{"count":20000,"cpu":4,"mem_mb":4,)"
           R"("estimate_ms":1000}],"repeats":4,"first_ms":)" +
           std::to_string(unix_ms()) + R"(,"interval_ms":500})";
}

// Many steps, the later ones after many earlier ones.
std::string many_steps_body() {
    constexpr int steps = 2000;
    constexpr int ready = 1000;
    constexpr std::size_t most = 255'000;
    std::string body = R"({"spec":"work=1000;","steps":[)";
    for (int i = 0; i < steps; ++i) {
        body += i == 0 ? R"({"cpu":5,"mem_mb":5)" : R"(,{"cpu":5,"mem_mb":5)";
        if (i >= ready) {
            const auto room = (most - body.size()) / static_cast<std::size_t>(steps - i);
            body += R"(,"after":[0)";
            for (std::size_t k = 1; k * 4 + 40 < room && k < 900; ++k) {
                body += "," + std::to_string(k);
            }
            body += "]";
        }
        body += "}";
    }
    return body + "]}";
}

// One task, for the runners with a label.
std::string labelled_body() {
    return R"({"spec":"work=12000;","steps":[{"count":1,"cpu":500,"mem_mb":256,)"
           R"("estimate_ms":12000,"requires":"b"}]})";
}

// One gang of many small tasks.
std::string gang_body() {
    return R"({"spec":"work=6000 gang=20000;","steps":[{"count":20000,"cpu":10,"mem_mb":10,)"
           R"("gang":true,"estimate_ms":6000}]})";
}

std::string large_body(const std::string& kind) {
    return kind == "tasks"      ? many_tasks_body()
           : kind == "fails"    ? failing_body()
           : kind == "gang"     ? gang_body()
           : kind == "labelled" ? labelled_body()
                                : many_steps_body();
}

std::string state_of(settings& s, const std::string& queue, const std::string& id) {
    for (int attempt = 0; attempt < tries; ++attempt) {
        client to(s.nodes[static_cast<std::size_t>(attempt) % s.nodes.size()]);
        const auto answer = to.call("GET", target_of(queue, id), fields(), "", deadline_ms);
        const auto at = answer.body.find("\"state\":\"");
        if (answer.status == 200 && at != std::string::npos) {
            const auto begin = at + 9;
            return answer.body.substr(begin, answer.body.find('"', begin) - begin);
        }
        if (answer.status == 410) {
            return "unknown (410)";
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    return "no answer";
}

struct job_runs {
    int first_step_done = 0;
    std::int64_t first_step_at = 0;
    int second_step_starts = 0;
    int starts = 0;
};

std::map<std::string, job_runs> read_logs(const std::string& logs) {
    std::map<std::string, job_runs> jobs;
    std::istringstream names(logs);
    for (std::string name; std::getline(names, name, ',');) {
        std::ifstream log(name);
        for (std::string line; std::getline(log, line);) {
            std::istringstream words(line);
            std::int64_t at = 0;
            std::string runner;
            std::string what;
            std::string task;
            std::string run;
            std::string how;
            words >> at >> runner >> what >> task >> run >> how;
            auto& known = jobs[task.substr(0, task.find('.'))];
            const bool first_step = task.find(".0.0.") != std::string::npos;
            known.starts += what == "start" ? 1 : 0;
            known.second_step_starts += what == "start" && !first_step ? 1 : 0;
            if (what == "end" && first_step && how == "done") {
                ++known.first_step_done;
                known.first_step_at = std::max(known.first_step_at, at);
            }
        }
    }
    return jobs;
}

} // namespace

int main(int count, char** words) {
    std::signal(SIGPIPE, SIG_IGN);
    const options given(count, words);
    settings s;
    std::istringstream nodes(given.text("nodes"));
    for (std::string node; std::getline(nodes, node, ',');) {
        s.nodes.push_back(parse_address(node));
    }
    s.queue = given.text("queue");
    s.large_queue = given.text("large-queue");
    s.kind = given.text("kind");
    s.label = given.text("label");
    s.large_jobs = given.number("large-jobs", 0);
    s.large_at_s = given.number("large-at-s", 5);
    s.large_gap_ms = given.number("large-gap-ms", 500);
    s.seconds = given.number("seconds", 30);
    s.gap_ms = given.number("gap-ms", 200);
    s.finish_s = given.number("finish-s", 14);
    s.ask_s = given.number("ask-s", 20);
    s.logs = given.text("logs");
    s.record.open(given.text("record"), std::ios::app);

    const auto begin = steady_ms();
    std::vector<std::string> large_ids;
    std::thread large([&] {
        std::this_thread::sleep_for(std::chrono::seconds(s.large_at_s));
        for (std::int64_t i = 0; i < s.large_jobs && steady_ms() < begin + s.seconds * 1000; ++i) {
            const auto id = new_id();
            write(s, "large job " + id);
            if (submit(s, s.large_queue, id, large_body(s.kind))) {
                large_ids.push_back(id);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(s.large_gap_ms));
        }
    });
    std::vector<job> jobs;
    std::mutex jobs_lock;
    std::atomic<int> rejected{0};
    constexpr std::size_t callers = 4;
    std::vector<std::thread> ordinary;
    ordinary.reserve(callers);
    for (std::size_t i = 0; i < callers; ++i) {
        ordinary.emplace_back([&] {
            while (steady_ms() < begin + s.seconds * 1000) {
                const auto id = new_id();
                const auto sent = steady_ms();
                if (submit(s, s.queue, id, small_body(s.label))) {
                    const std::lock_guard<std::mutex> lock(jobs_lock);
                    jobs.push_back({id, unix_ms(), ""});
                } else {
                    ++rejected;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(
                    std::max<std::int64_t>(0, 4 * s.gap_ms - (steady_ms() - sent))));
            }
        });
    }
    for (auto& thread : ordinary) {
        thread.join();
    }
    large.join();
    std::this_thread::sleep_for(std::chrono::seconds(s.finish_s));

    const auto asked_at = unix_ms();
    std::map<std::string, int> states;
    int unanswered = 0;
    // A few answers that do not come show enough, and the run has to end.
    const auto may_ask = [&] { return unanswered < 2 && unix_ms() < asked_at + s.ask_s * 1000; };
    for (auto& one : jobs) {
        one.state = may_ask() ? state_of(s, s.queue, one.id) : "not asked";
        unanswered += one.state == "no answer" ? 1 : 0;
        ++states[one.state];
        write(s, "state " + one.id + ": " + one.state);
    }
    const auto runs = read_logs(s.logs);
    int idle = 0;
    for (const auto& one : jobs) {
        const auto known = runs.find(one.id);
        const bool never_begun = known == runs.end() || known->second.starts == 0;
        const bool second_due = !never_begun && known->second.first_step_done >= 2 &&
                                known->second.second_step_starts == 0 &&
                                known->second.first_step_at + 3000 < asked_at;
        const bool ended = one.state == "completed";
        if (!ended && (never_begun || second_due)) {
            ++idle;
            write(s, "idle " + one.id +
                         (never_begun ? ": never begun" : ": its second step never began"));
        }
    }
    // No task of theirs fails as often as the queue allows.
    int given_up = 0;
    for (const auto& id : large_ids) {
        const auto state = may_ask() ? state_of(s, s.large_queue, id) : "not asked";
        unanswered += state == "no answer" ? 1 : 0;
        given_up += state == "failed" ? 1 : 0;
        write(s, std::string("state ").append(id).append(": ").append(state));
    }
    std::ostringstream line;
    line << "summary ordinary accepted " << jobs.size() << " rejected " << rejected << " idle "
         << idle << " given up " << given_up;
    for (const auto& [state, number] : states) {
        line << " [" << state << "] " << number;
    }
    write(s, line.str());
    std::cout << line.str() << std::endl;
    const bool lost =
        idle > 0 || given_up > 0 || states["unknown (410)"] > 0 || states["no answer"] > 0;
    return lost ? 1 : 0;
}
