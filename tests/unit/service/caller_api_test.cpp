#include "unit/service/service_fixture.h"

#include "core/common/counters.h"
#include "core/dispatch/job_entry.h"
#include "core/dispatch/progress.h"
#include "core/service/caller_api.h"
#include "core/service/store_keys.h"

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace buckthornspar;
using namespace buckthornspar::service;
using namespace buckthornspar::service::test;
using namespace std::chrono_literals;
using dispatch::job_state;

namespace {

/// The body of a submission is its payload, and a state is shown by its name.
class plain_format final : public platform_format {
public:
    [[nodiscard]] std::string worker_prefix() const override { return "workers/"; }
    [[nodiscard]] std::string configuration_key() const override { return "configuration"; }
    [[nodiscard]] dispatch::worker_report read_worker(const std::string&,
                                                      const std::string&) const override {
        return {};
    }
    [[nodiscard]] service_configuration read_configuration(const std::string&) const override {
        return {};
    }
    [[nodiscard]] dispatch::job_spec read_submission(const std::string& body) const override {
        dispatch::job_spec job;
        job.payload = body;
        job.steps.emplace_back();
        if (change) {
            change(job);
        }
        return job;
    }
    [[nodiscard]] bool is_job_id(std::string_view text) const override { return text.size() == 1; }
    [[nodiscard]] std::string state_body(job_state state) const override {
        return std::string(dispatch::job_state_names.name(state));
    }
    [[nodiscard]] std::string pending_body(std::size_t jobs) const override {
        return std::to_string(jobs);
    }
    [[nodiscard]] std::string deadline_header() const override { return "Deadline"; }
    [[nodiscard]] std::string key_header() const override { return "Key"; }
    [[nodiscard]] std::string readiness_path() const override { return "/ready"; }

    std::function<void(dispatch::job_spec&)> change;
};

service_configuration configuration_of(const std::string& queue) {
    service_configuration configuration;
    queue_route route;
    route.queue.name = queue;
    route.host = "h";
    route.prefix = "/jobs/";
    configuration.routes.push_back(route);
    return configuration;
}

struct caller_fixture : service_fixture {
    net::http_response call(net::http_method method, const std::string& target,
                            const std::function<void()>& meanwhile = {}) {
        net::http_request request;
        request.method = method;
        request.target = target;
        request.body = "p";
        request.fields.set("Host", "h");
        if (!key.empty()) {
            request.fields.set("Key", key);
        }
        std::optional<net::http_response> response;
        callers.handle(std::move(request), [&](net::http_response r) { response = std::move(r); });
        if (meanwhile) {
            meanwhile();
        }
        BOOST_REQUIRE(run_until([&] { return response.has_value(); }));
        return *response;
    }

    common::counters counters;
    plain_format format;
    job_directory directory{120s};
    store_health health{clock};
    monitored_store observed{store, health};
    net::http_client client{loop, {}};
    store_relay relay{client, observed, health, [] { return std::optional<net::endpoint>(); }};
    job_intake intake{observed, relay, health, loop, clock, counters};
    std::optional<service_configuration> configuration = configuration_of("q");
    std::optional<pending_counts> owner_counts;
    job_admission admission{1 << 24};
    std::optional<dispatch::known_state> owner_view;
    std::vector<std::string> asked;
    /// Key of the calls.
    std::string key;
    caller_api callers{
        {clock, counters, format, directory, intake,
         [this] { return configuration ? &*configuration : nullptr; },
         [this] { return owner_counts; }, "n1",
         [this](const std::string& job,
                const std::function<void(std::optional<dispatch::known_state>)>& complete) {
             asked.push_back(job);
             complete(owner_view);
         },
         &admission}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(caller_api_suite, caller_fixture)

// Guards against a process that ends because the configuration is replaced while a call waits for
// the store.
BOOST_AUTO_TEST_CASE(a_new_configuration_does_not_disturb_calls_in_progress) {
    dispatch::job_progress ended;
    ended.state = job_state::completed;
    store.apply({{}, {{progress_key("a"), dispatch::write_progress(ended), 0}}, {}});
    store.delay = 20ms;
    const auto response = call(net::http_method::get, "/jobs/a",
                               [this] { configuration = configuration_of("other"); });
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "completed");
}

// Guards against a state that is never updated: the node that repeats another node's acceptance is
// not told of changes, so it asks the owner or reads the store.
BOOST_AUTO_TEST_CASE(the_state_of_another_nodes_job_is_not_taken_from_its_submission) {
    dispatch::job_spec job;
    job.id = "a";
    job.queue = "q";
    job.payload = "p";
    job.steps.emplace_back();
    job.accepted_by = "n2";
    store.apply({{}, {{job_key("a"), dispatch::write_job(job), 0}}, {}});
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    BOOST_TEST(call(net::http_method::get, "/jobs/a").body == "queued");
    BOOST_TEST(asked == std::vector<std::string>{"a"});
    owner_view = dispatch::known_state{job_state::running, {}};
    BOOST_TEST(call(net::http_method::get, "/jobs/a").body == "running");
    owner_view.reset();
    dispatch::job_progress ended;
    ended.state = job_state::completed;
    store.remove(job_key("a"));
    store.apply({{}, {{progress_key("a"), dispatch::write_progress(ended), 0}}, {}});
    BOOST_TEST(call(net::http_method::get, "/jobs/a").body == "completed");
}

// Guards against a count of 0 while the owner has not read the jobs or is not known.
BOOST_AUTO_TEST_CASE(an_unknown_count_is_not_reported) {
    BOOST_TEST(call(net::http_method::get, "/jobs/").status == 503U);
    directory.set_pending(clock.now(), {{"q", 3}});
    BOOST_TEST(call(net::http_method::get, "/jobs/").body == "3");
    owner_counts = pending_counts{{"q", 5}};
    BOOST_TEST(call(net::http_method::get, "/jobs/").body == "5");
}

// Guards against an accepted job that no owner can hold, against a refusal after which the job
// runs, and against one that gives no time to return.
BOOST_AUTO_TEST_CASE(a_job_for_which_there_is_no_memory_is_refused) {
    admission.set_headroom(0);
    const auto refused = call(net::http_method::post, "/jobs/a");
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(refused.fields.get("Retry-After") == "1");
    BOOST_TEST(!store.has(job_key("a")));
    admission.set_headroom(1 << 20);
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    BOOST_TEST(store.has(job_key("a")));
}

// Guards against a refusal "not accepted" to the repeat of a submission that was accepted.
BOOST_AUTO_TEST_CASE(the_repeat_of_an_accepted_job_needs_no_memory) {
    admission.set_headroom(1 << 20);
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    admission.set_headroom(0);
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    BOOST_TEST(call(net::http_method::post, "/jobs/b").status == 503U);
}

// Guards against the same refusal when the store does not tell whether the job was accepted before.
BOOST_AUTO_TEST_CASE(a_repeat_is_not_refused_while_the_store_cannot_be_read) {
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    admission.set_headroom(0);
    store.reads_fail = true;
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 504U);
    store.reads_fail = false;
    health.record_outcome(dispatch::store_status::ok);
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
}

// Guards against a node that accepts more than is left for it before the owner reports again, and
// against memory that stays taken by jobs that were not stored.
BOOST_AUTO_TEST_CASE(memory_is_taken_by_accepted_jobs_only) {
    dispatch::job_spec job;
    job.id = "a";
    job.payload = "p";
    job.steps.emplace_back();
    // Two jobs, whose exact size depends on the names of the queue and the node.
    admission.set_headroom(2 * dispatch::memory_of(job) + dispatch::memory_of(job) / 2);
    store.on_commit = [](const dispatch::store_commit&) {
        return dispatch::store_status::unavailable;
    };
    for (const auto* const id : {"a", "b", "c"}) {
        BOOST_TEST(call(net::http_method::post, std::string("/jobs/") + id).status == 503U);
    }
    store.on_commit = {};
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    BOOST_TEST(call(net::http_method::post, "/jobs/b").status == 200U);
    BOOST_TEST(call(net::http_method::post, "/jobs/c").status == 503U);
}

// Guards against jobs that stop at a change of owner after the operator has dropped their route:
// only their records can tell a successor how they are executed.
BOOST_AUTO_TEST_CASE(an_accepted_job_keeps_the_settings_of_its_queue) {
    admission.set_headroom(1 << 20);
    configuration->routes[0].queue.service = "planner";
    configuration->routes[0].queue.max_attempts = 4;
    configuration->routes[0].queue.slack_factor = 2.5;
    configuration->routes[0].queue.needs_tickets = true;
    configuration->routes[0].queue.ticket_base_ms = 410.5;
    configuration->routes[0].queue.ticket_valid_ms = 2500;
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    const auto stored = dispatch::read_job(store.value_of(job_key("a")));
    BOOST_REQUIRE(stored.accepted_queue);
    BOOST_TEST((*stored.accepted_queue == configuration->routes[0].queue));
}

// Guards against jobs that no node can hold or execute, which were accepted and never ran.
BOOST_AUTO_TEST_CASE(jobs_that_cannot_be_held_are_refused) {
    admission.set_headroom(1 << 24);
    const auto refused = [this](const std::function<void(dispatch::job_spec&)>& change) {
        format.change = change;
        return call(net::http_method::post, "/jobs/a").status == 400U && !store.has(job_key("a"));
    };
    constexpr auto highest = std::numeric_limits<std::int64_t>::max();
    BOOST_TEST(refused([](auto& job) { job.steps.resize(2'001); }));
    BOOST_TEST(refused([](auto& job) { job.steps[0].count = 20'001; }));
    BOOST_TEST(refused([](auto& job) { job.schedule = {10, highest, 1}; }));
    BOOST_TEST(refused([](auto& job) { job.schedule = {1'000'000, 0, highest / 1'000'000}; }));
    BOOST_TEST(refused([](auto& job) { job.schedule = {10, 0, -1}; }));
    BOOST_TEST(refused([](auto& job) { job.steps[0].estimate_ms = highest; }));
    BOOST_TEST(refused([](auto& job) { job.payload.assign(std::size_t{1} << 20U, 'p'); }));
    BOOST_TEST(!refused([](auto& job) {
        job.schedule = {std::numeric_limits<std::int32_t>::max(), 1'800'000'000'000, 60'000};
    }));
}

// Guards against calls without a valid key that run or store something, and against an answer that
// tells whether a job exists.
BOOST_AUTO_TEST_CASE(calls_need_the_key_of_a_customer) {
    admission.set_headroom(1 << 20);
    configuration->routes[0].open = false;
    configuration->customers = customers::customer_directory({{"c1", {"k1"}, 1.0, {}}});
    for (const auto* const wrong : {"", "k2"}) {
        key = wrong;
        for (const auto method :
             {net::http_method::post, net::http_method::get, net::http_method::del}) {
            const auto response = call(method, "/jobs/a");
            BOOST_TEST(response.status == 401U);
            BOOST_TEST(response.fields.get("WWW-Authenticate") == "Key");
        }
        BOOST_TEST(call(net::http_method::get, "/jobs/").status == 401U);
    }
    BOOST_TEST(!store.has(job_key("a")));
    key = "k1";
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    BOOST_TEST(dispatch::read_job(store.value_of(job_key("a"))).customer == "c1");
    key = "";
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 401U);
}

// Guards against a job that is stored and never fits under the cap of its customer, and against a
// refusal of the repeat of a job that was accepted before the cap was lowered.
BOOST_AUTO_TEST_CASE(a_job_that_never_fits_under_the_cap_is_refused) {
    format.change = [](dispatch::job_spec& job) {
        job.steps[0].count = 3;
        job.steps[0].gang = true;
        job.steps[0].demand = {1000, 0, 0};
    };
    const auto set_cap = [this](std::int64_t cpu_milli) {
        configuration->customers =
            customers::customer_directory({{"c1", {"k1"}, 1.0, {cpu_milli, 0, 0}}});
    };
    admission.set_headroom(1 << 20);
    key = "k1";
    set_cap(3000);
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    set_cap(2999);
    const auto refused = call(net::http_method::post, "/jobs/b");
    BOOST_TEST(refused.status == 400U);
    BOOST_TEST(refused.body.find("cap of the customer") != std::string::npos);
    BOOST_TEST(!store.has(job_key("b")));
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
}

// Guards against customers who read or cancel each other's jobs, at the node that accepted the job
// and at others, and against jobs that nobody reaches once their key has been replaced.
BOOST_AUTO_TEST_CASE(jobs_belong_to_the_customer_and_not_to_the_key) {
    admission.set_headroom(1 << 20);
    configuration->routes[0].open = false;
    configuration->customers =
        customers::customer_directory({{"c1", {"k1"}, 1.0, {}}, {"c2", {"k2"}, 1.0, {}}});
    key = "k1";
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    key = "k2";
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 409U);
    BOOST_TEST(call(net::http_method::get, "/jobs/a").status == 410U);
    BOOST_TEST(call(net::http_method::del, "/jobs/a").status == 410U);
    BOOST_TEST(!store.has(cancel_key("a")));
    owner_view = dispatch::known_state{job_state::completed, {"q", "c1"}};
    BOOST_TEST(call(net::http_method::get, "/jobs/b").status == 410U);
    configuration->customers = customers::customer_directory({{"c1", {"k3"}, 1.0, {}}});
    key = "k3";
    BOOST_TEST(call(net::http_method::get, "/jobs/a").body == "queued");
    BOOST_TEST(call(net::http_method::get, "/jobs/b").body == "completed");
    BOOST_TEST(call(net::http_method::del, "/jobs/a").status == 200U);
}

// Guards against keys that are needed where the operator has opened a queue, and against an open
// queue that gives access to the jobs of others.
BOOST_AUTO_TEST_CASE(an_open_queue_needs_no_key) {
    admission.set_headroom(1 << 20);
    configuration->customers = customers::customer_directory({{"c1", {"k1"}, 1.0, {}}});
    BOOST_TEST(call(net::http_method::post, "/jobs/a").status == 200U);
    BOOST_TEST(call(net::http_method::get, "/jobs/a").body == "queued");
    owner_view = dispatch::known_state{job_state::running, {"other", "c1"}};
    BOOST_TEST(call(net::http_method::get, "/jobs/b").status == 410U);
    owner_view = dispatch::known_state{job_state::running, {"q", "c1"}};
    BOOST_TEST(call(net::http_method::get, "/jobs/b").body == "running");
}

BOOST_AUTO_TEST_SUITE_END()
