// Runs nodes as the platform does: a process that exceeds the memory of its machine is killed, and
// one that has ended is started again after a short delay. Ends with SIGTERM, and ends its nodes.

#include "net.h"

#include <sys/wait.h>

#include <fstream>
#include <sstream>
#include <vector>

namespace {

using namespace review;

volatile std::sig_atomic_t stopping = 0;

struct node {
    std::string config;
    std::string name;
    pid_t id = -1;
    std::int64_t start_at = 0;
    long peak_mb = 0;
    int over_memory = 0;
    int own_ends = 0;
};

long resident_mb(pid_t id) {
    std::ifstream status("/proc/" + std::to_string(id) + "/status");
    std::string word;
    long kb = 0;
    while (status >> word) {
        if (word == "VmRSS:") {
            status >> kb;
            return kb / 1024;
        }
    }
    return 0;
}

void start(node& n, const std::string& program, const std::string& logs) {
    const auto id = ::fork();
    if (id == 0) {
        const auto log = logs + "/" + n.name + ".log";
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(program.c_str(), program.c_str(), "--config", n.config.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
    n.id = id;
}

} // namespace

int main(int count, char** words) {
    const options given(count, words);
    const auto memory_mb = given.number("memory-mb", 260);
    const auto program = given.text("program");
    std::ofstream record(given.text("record"), std::ios::app);
    std::vector<node> nodes;
    std::istringstream configs(given.text("configs"));
    for (std::string config; std::getline(configs, config, ',');) {
        const auto base = config.substr(config.rfind('/') + 1);
        nodes.push_back({config, base.substr(0, base.find('.')), -1, 0, 0, 0, 0});
    }
    std::signal(SIGTERM, [](int) { stopping = 1; });
    while (stopping == 0) {
        for (auto& n : nodes) {
            if (n.id < 0) {
                if (steady_ms() >= n.start_at) {
                    start(n, program, given.text("logs"));
                }
                continue;
            }
            int status = 0;
            if (::waitpid(n.id, &status, WNOHANG) == n.id) {
                ++n.own_ends;
                record << unix_ms() << " " << n.name << " ended by itself, status " << status
                       << std::endl;
                n.id = -1;
                n.start_at = steady_ms() + 500;
                continue;
            }
            const auto now_mb = resident_mb(n.id);
            n.peak_mb = std::max(n.peak_mb, now_mb);
            if (now_mb > memory_mb) {
                ++n.over_memory;
                record << unix_ms() << " " << n.name << " had " << now_mb << " MB of " << memory_mb
                       << " and was killed" << std::endl;
                ::kill(n.id, SIGKILL);
                ::waitpid(n.id, &status, 0);
                n.id = -1;
                n.start_at = steady_ms() + 500;
            }
        }
        ::usleep(10'000);
    }
    for (const auto& n : nodes) {
        if (n.id > 0) {
            ::kill(n.id, SIGKILL);
            ::waitpid(n.id, nullptr, 0);
        }
        record << "summary " << n.name << " peak_mb " << n.peak_mb << " over_memory "
               << n.over_memory << " own_ends " << n.own_ends << std::endl;
    }
}
