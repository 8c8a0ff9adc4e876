#include "scenario/config/random_script.h"

#include "core/common/rng.h"

#include <algorithm>
#include <array>
#include <string>

namespace buckthornspar::scenario {

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t active_ms = 9000;
constexpr std::uint64_t heal_ms = 9200;
/// Target: a version is in force in all processes within 4 s after all faults have ended.
constexpr common::duration converge_within = 4s;
constexpr std::array<const char*, 4> paths{
    "limits/max_tasks_per_job", "limits/retry_budget_percent", "limits/max_pending_jobs_per_team",
    "limits/max_queued_requests_per_caller"};

template <typename Items>
const auto& pick(common::rng& r, const Items& items) {
    return items[r.below(items.size())];
}

std::string pick_config(common::rng& r) {
    return "c" + std::to_string(r.below(2)) + "." + std::to_string(r.below(2));
}

step make_step(common::duration at, const std::string& verb) {
    step s;
    s.at = at;
    s.verb = verb;
    return s;
}

step make_submission(common::rng& r, common::duration at, std::uint64_t& patches) {
    step s = make_step(at, "submit");
    // A fifth of the submissions repeat an earlier id, some of them with different content.
    const bool repeat = patches > 0 && r.chance(0.2);
    const std::uint64_t number = repeat ? r.below(patches) : patches++;
    s.args.set("process", pick_config(r));
    s.args.set("id", "p" + std::to_string(number));
    s.args.set("path", paths.at(number % paths.size()));
    s.args.set("value", std::to_string(r.chance(0.05) ? r.below(1000) : number % 50));
    if (r.chance(0.2)) {
        s.args.set("version", std::to_string(r.below(6)));
    } else if (r.chance(0.1)) {
        s.args.set("undo", std::to_string(r.below(4) + 1));
    }
    return s;
}

step make_fault(common::rng& r, common::duration at) {
    constexpr std::array<const char*, 6> process_verbs{"kill",  "kill_after_write", "start",
                                                       "pause", "resume",           "path"};
    if (r.chance(0.6)) {
        step s = make_step(at, pick(r, process_verbs));
        const bool member = r.chance(0.15) && s.verb != "path" && s.verb != "kill_after_write";
        s.args.set("process", member ? "m" + std::to_string(r.below(2)) + ".0" : pick_config(r));
        if (s.verb == "path") {
            s.args.set("lose_answers", r.chance(0.4) ? "true" : "false");
            s.args.set("delay", std::to_string(r.below(3) * r.below(1500)) + "ms");
        }
        return s;
    }
    if (r.chance(0.4)) {
        step s = make_step(at, r.chance(0.5) ? "cut" : "heal");
        s.args.set("region", std::to_string(r.below(2)));
        return s;
    }
    step s = make_step(at, "store");
    s.args.set("down", r.chance(0.3) ? "true" : "false");
    s.args.set("lose_answers", r.chance(0.3) ? "true" : "false");
    s.args.set("delay", std::to_string(r.below(2) * r.below(1000)) + "ms");
    return s;
}

} // namespace

script make_random_config_script(std::uint64_t seed) {
    common::rng r(seed);
    script s;
    s.name = "random config " + std::to_string(seed);
    s.seed = seed;
    s.setup.set("slots", std::to_string(2 + r.below(5)));
    s.setup.set("duplicates", r.chance(0.5) ? "true" : "false");
    std::vector<std::uint64_t> times(10 + r.below(30));
    std::generate(times.begin(), times.end(), [&] { return 100 + r.below(active_ms); });
    std::sort(times.begin(), times.end());
    std::uint64_t patches = 0;
    for (const auto time : times) {
        const auto at = std::chrono::milliseconds(time);
        s.steps.push_back(r.chance(0.6) ? make_submission(r, at, patches) : make_fault(r, at));
    }
    s.setup.set("heal_at", std::to_string(heal_ms) + "ms");
    s.end = std::chrono::milliseconds(heal_ms) + converge_within;
    return s;
}

} // namespace buckthornspar::scenario
