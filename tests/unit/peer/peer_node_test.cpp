#define BOOST_TEST_MODULE peer
#include "core/common/counters.h"
#include "core/net/net_error.h"
#include "core/peer/peer_handler.h"
#include "core/peer/peer_node.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <mutex>

using namespace buckthornspar;
using namespace buckthornspar::peer;
using namespace std::chrono_literals;

namespace {

class recording_handler final : public peer_handler {
public:
    void on_heartbeat(const heartbeat& message, std::function<void(heartbeat)> complete) override {
        heartbeat reply = message;
        reply.from.id = "answering";
        complete(reply);
    }

    void on_job_call(job_call call, std::function<void(job_reply)> complete) override {
        if (call.job_or_id == "silent") {
            const std::lock_guard lock(m_mutex);
            m_unanswered.push_back(std::move(complete));
            return;
        }
        job_reply reply;
        if (call.job_or_id == "uncertain") {
            reply.status = reply_status::no_answer;
        }
        reply.body = call.job_or_id + " in " + call.shard + " for " + call.from.id;
        complete(reply);
    }

    void on_config_since(const sender&, std::uint64_t version,
                         std::function<void(config_records)> complete) override {
        complete({{{version + 1, "{}"}}, version + 1});
    }

    void on_slot_grant(const sender& from, const slot_grant& grant) override {
        if (grant.counts.empty()) {
            return;
        }
        grant_received.set_value(from.id + ":" + grant.counts.at(0).runner);
    }

    void on_quota_messages(const sender&, const std::vector<quota_message>& messages) override {
        quotas_received.set_value(messages);
    }

    std::promise<std::string> grant_received;
    std::promise<std::vector<quota_message>> quotas_received;

private:
    std::mutex m_mutex;
    std::vector<std::function<void(job_reply)>> m_unanswered;
};

peer_limits short_limits() {
    peer_limits limits;
    limits.call_timeout = 200ms;
    return limits;
}

struct peer_fixture {
    peer_fixture()
        : server({"127.0.0.1", 0}, handler, short_limits(), counters),
          client({"127.0.0.1", 0}, handler, short_limits(), counters),
          to{"127.0.0.1", server.port()} {}

    job_reply call(const net::endpoint& target, const std::string& job_or_id) {
        std::promise<job_reply> promise;
        job_call c;
        c.from.id = "caller";
        c.shard = "s1";
        c.job_or_id = job_or_id;
        client.call_job(target, c, [&](job_reply reply) { promise.set_value(std::move(reply)); });
        return promise.get_future().get();
    }

    common::counters counters;
    recording_handler handler;
    peer_node server;
    peer_node client;
    net::endpoint to;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(peer_node_test, peer_fixture)

// Guards against heartbeat fields that are lost in encoding or decoding.
BOOST_AUTO_TEST_CASE(heartbeat_carries_shards_and_version) {
    std::promise<std::optional<heartbeat>> promise;
    heartbeat message{{"a", "scheduler", 7}, {{"s1", 3, 1, 2, 3, 4}}, true};
    client.send_heartbeat(to, message, [&](auto reply) { promise.set_value(std::move(reply)); });
    const auto reply = promise.get_future().get();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->from.id == "answering");
    BOOST_TEST(reply->from.config_version == 7U);
    BOOST_TEST(reply->shards.at(0).pending_tasks == 4U);
    BOOST_TEST(reply->draining);
}

// Guards against an unanswered call that blocks later calls to the same peer.
BOOST_AUTO_TEST_CASE(unanswered_call_reports_no_answer_and_later_calls_succeed) {
    BOOST_TEST((call(to, "silent").status == reply_status::no_answer));
    const auto reply = call(to, "j1");
    BOOST_TEST((reply.status == reply_status::ok));
    BOOST_TEST(reply.body == "j1 in s1 for caller");
}

// Guards against an unknown outcome that is transmitted as a refusal: a refusal promises that the
// call had no effect.
BOOST_AUTO_TEST_CASE(unknown_outcome_is_not_a_refusal) {
    BOOST_TEST((call(to, "uncertain").status == reply_status::no_answer));
}

// Guards against reporting that a job may have been accepted when the connection was refused.
BOOST_AUTO_TEST_CASE(refused_connection_is_not_sent) {
    BOOST_TEST((call({"127.0.0.1", 1}, "j1").status == reply_status::not_sent));
}

// Guards against a node that starts without an error although its address is in use.
BOOST_AUTO_TEST_CASE(address_in_use_throws) {
    BOOST_CHECK_THROW(peer_node(to, handler, {}, counters), net::net_error);
}

BOOST_AUTO_TEST_CASE(config_since_returns_newer_records) {
    std::promise<std::optional<config_records>> promise;
    client.config_since(to, {"a", "entry", 4}, 4,
                        [&](auto reply) { promise.set_value(std::move(reply)); });
    const auto reply = promise.get_future().get();
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->in_force == 5U);
    BOOST_TEST(reply->records.at(0).version == 5U);
}

BOOST_AUTO_TEST_CASE(slot_grants_are_delivered) {
    client.send_slot_grant(to, {"a", "entry", 0}, {"s", {{"runner-1", 4}}});
    BOOST_TEST(handler.grant_received.get_future().get() == "a:runner-1");
}

// Guards against fields lost in encoding or decoding; a wrong total could exceed a quota.
BOOST_AUTO_TEST_CASE(quota_messages_are_delivered_unchanged) {
    quota_message grant;
    grant.kind = quota_message_kind::grant;
    grant.team = "team-1";
    grant.from_shard = "north";
    grant.from_epoch = 7;
    grant.to_shard = "south";
    grant.to_epoch = 9;
    grant.sequence = 11;
    grant.answers = 13;
    grant.amount = {4000, 8192, 1};
    grant.quota = {64'000, 131'072, 8};
    grant.recall = true;
    quota_message statement = grant;
    statement.kind = quota_message_kind::statement;
    statement.wanted = {6000, 8192, 2};
    statement.least = {5000, 8192, 1};
    statement.reply = true;
    client.send_quota_messages(to, {"a", "scheduler", 0}, {grant, statement});
    const auto arrived = handler.quotas_received.get_future().get();
    BOOST_REQUIRE(arrived.size() == 2U);
    BOOST_TEST((arrived[0] == grant));
    statement.quota = {};
    BOOST_TEST((arrived[1] == statement));
}

// Guards against a data race: wake() still uses the peer thread's promise while that thread
// destroys it to stop or to wait again. Only the thread sanitizer detects it.
BOOST_AUTO_TEST_CASE(wake_during_stop_and_next_wait_is_safe) {
    constexpr int nodes = 200;
    constexpr int wake_ups = 20;
    for (int n = 0; n < nodes; ++n) {
        peer_node stopped({"127.0.0.1", 0}, handler, short_limits(), counters);
        for (int i = 0; i < n % wake_ups; ++i) {
            stopped.send_slot_grant(to, {"a", "entry", 0}, {});
        }
        stopped.stop();
    }
}

BOOST_AUTO_TEST_SUITE_END()
