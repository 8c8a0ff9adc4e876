#include "core/net/request_budget.h"

#include "core/net/request_guard.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

using namespace buckthornspar::net;

namespace {

class member final : public budget_member {
public:
    member(request_budget& budget, const void* server) { account.emplace(budget, *this, server); }

    void on_evicted(eviction_reason reason) override { evicted = reason; }

    std::optional<eviction_reason> evicted;
    std::optional<request_budget::account> account;
};

constexpr std::size_t capacity = 10'000;
constexpr std::size_t max_connections = 4;

struct budget_fixture {
    member& add(const void* of) {
        members.push_back(std::make_unique<member>(budget, of));
        return *members.back();
    }
    member& add(budget_use use, std::size_t bytes) {
        member& added = add(&server);
        BOOST_TEST(added.account->set(use, bytes));
        return added;
    }

    int server = 0;
    int other_server = 0;
    request_budget budget{capacity, max_connections};
    std::vector<std::unique_ptr<member>> members;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_budget_test, budget_fixture)

// Guards against bytes that are counted twice or stay counted after their account has ended.
BOOST_AUTO_TEST_CASE(bytes_are_counted_once) {
    member& first = add(budget_use::receiving, 1000);
    add(budget_use::in_progress, 2000);
    BOOST_TEST(budget.used() == 3000U);
    BOOST_TEST(first.account->set(budget_use::receiving, 1500));
    BOOST_TEST(budget.used() == 3500U);
    BOOST_TEST(first.account->set(budget_use::sending, 100));
    BOOST_TEST(budget.used() == 2100U);
    first.account->clear();
    BOOST_TEST(budget.used() == 2000U);
    members.clear();
    BOOST_TEST(budget.used() == 0U);
    BOOST_TEST(budget.connections() == 0U);
}

// Guards against small requests that are refused because of large ones.
BOOST_AUTO_TEST_CASE(the_largest_unfinished_request_is_evicted) {
    member& small = add(budget_use::receiving, 500);
    member& large = add(budget_use::receiving, 6000);
    member& middle = add(budget_use::receiving, 3000);
    member& last = add(budget_use::receiving, 1000);
    BOOST_TEST((large.evicted == eviction_reason::memory));
    BOOST_TEST((!small.evicted && !middle.evicted && !last.evicted));
    BOOST_TEST(budget.used() == 4500U);
}

// Guards against a request that has just begun and goes before one that has stood still for long.
BOOST_AUTO_TEST_CASE(the_oldest_of_about_the_same_size_is_evicted) {
    member& oldest = add(budget_use::receiving, 3000);
    member& second = add(budget_use::receiving, 3200);
    member& third = add(budget_use::receiving, 3500);
    add(budget_use::receiving, 500);
    BOOST_TEST((oldest.evicted == eviction_reason::memory));
    BOOST_TEST((!second.evicted && !third.evicted));
}

// Guards against a request that is refused after its handler has begun, and would then be reported
// as not run.
BOOST_AUTO_TEST_CASE(requests_in_progress_are_never_evicted) {
    member& running = add(budget_use::in_progress, 9000);
    member& next = add(&server);
    BOOST_TEST(!next.account->set(budget_use::receiving, 2000));
    BOOST_TEST(!running.evicted);
    BOOST_TEST(!next.evicted);
    BOOST_TEST(budget.used() == 9000U);
    BOOST_TEST(next.account->set(budget_use::receiving, 1000));
}

// Guards against responses of the store or of workers that fail because clients have filled the
// memory, and against responses that exceed it themselves.
BOOST_AUTO_TEST_CASE(responses_of_other_processes_go_before_clients) {
    member& client = add(budget_use::receiving, 9000);
    member& store = add(nullptr);
    BOOST_TEST(store.account->set(budget_use::awaited, 8000));
    BOOST_TEST((client.evicted == eviction_reason::memory));
    member& worker = add(nullptr);
    BOOST_TEST(!worker.account->set(budget_use::awaited, 2001));
    BOOST_TEST(!store.evicted);
    BOOST_TEST(budget.connections() == 0U);
}

// Guards against a response that is kept for a client that does not read it.
BOOST_AUTO_TEST_CASE(unread_responses_are_evicted) {
    member& unread = add(budget_use::sending, 8000);
    add(budget_use::receiving, 3000);
    BOOST_TEST((unread.evicted == eviction_reason::memory));
}

// Guards against connections without a request that keep others out.
BOOST_AUTO_TEST_CASE(idle_connections_go_first) {
    member& slow = add(budget_use::receiving, 10);
    member& first_idle = add(&server);
    member& second_idle = add(&other_server);
    member& running = add(budget_use::in_progress, 10);
    BOOST_TEST(budget.make_room_for_connection(&server, 3, 10));
    BOOST_TEST((first_idle.evicted == eviction_reason::connections));
    add(&server);
    BOOST_TEST(budget.connections() == max_connections);
    BOOST_TEST(budget.make_room_for_connection(&server, 3, 10));
    BOOST_TEST(second_idle.evicted.has_value());
    add(budget_use::in_progress, 10);
    BOOST_TEST(budget.make_room_for_connection(&server, 4, 10));
    BOOST_TEST(!slow.evicted);
    add(budget_use::in_progress, 10);
    BOOST_TEST(budget.make_room_for_connection(&server, 4, 10));
    BOOST_TEST(slow.evicted.has_value());
    add(budget_use::in_progress, 10);
    BOOST_TEST(!budget.make_room_for_connection(&server, 4, 10));
    BOOST_TEST(!running.evicted);
}

// Guards against a server at its own limit that closes connections of another one.
BOOST_AUTO_TEST_CASE(a_full_server_closes_its_own_connections) {
    member& other = add(&other_server);
    member& own = add(&server);
    BOOST_TEST(budget.make_room_for_connection(&server, 1, 1));
    BOOST_TEST(own.evicted.has_value());
    BOOST_TEST(!other.evicted);
}

// Guards against sums that drift from the bytes of the accounts, or exceed the capacity.
BOOST_AUTO_TEST_CASE(random_uses_keep_the_sum) {
    std::mt19937 random(52);
    const auto pick = [&random](std::size_t below) { return random() % below; };
    struct entry {
        std::unique_ptr<member> owner;
        std::size_t bytes = 0;
    };
    std::deque<entry> entries;
    request_budget many(capacity, 100);
    for (int i = 0; i < 20'000; ++i) {
        if (entries.size() < 30 && pick(3) == 0) {
            entries.push_back({std::make_unique<member>(many, &server)});
        }
        if (entries.empty()) {
            continue;
        }
        entry& chosen = entries[pick(entries.size())];
        const auto bytes = pick(3000);
        const auto use = static_cast<budget_use>(pick(5));
        chosen.bytes = chosen.owner->account->set(use, bytes) ? bytes : 0;
        std::size_t sum = 0;
        for (entry& each : entries) {
            if (std::exchange(each.owner->evicted, std::nullopt) && &each != &chosen) {
                each.bytes = 0;
            }
            sum += each.bytes;
        }
        BOOST_REQUIRE(many.used() == sum);
        BOOST_REQUIRE(many.used() <= capacity);
        if (pick(4) == 0) {
            entries.pop_front();
        }
    }
}

// Guards against a process that cannot serve one request of the largest size, and against servers
// that leave no descriptors for connections to the store, peers and workers.
BOOST_AUTO_TEST_CASE(shares_of_the_resources) {
    process_resources resources;
    resources.max_body_bytes = std::size_t{1} << 20U;
    resources.message_memory_share = 0.125;
    resources.memory = std::int64_t{120} << 20U;
    BOOST_TEST(message_memory(resources) == std::size_t{15} << 20U);
    resources.memory = std::int64_t{8} << 20U;
    BOOST_TEST(message_memory(resources) > std::size_t{3} << 20U);
    resources.max_fds = 3075;
    BOOST_TEST(accepted_connections(resources, 20'000) == 1917U);
    BOOST_TEST(accepted_connections(resources, 512) == 342U);
    resources.max_fds = 100;
    BOOST_TEST(accepted_connections(resources, 20'000) == 16U);
    resources.max_connections = 50;
    BOOST_TEST(accepted_connections(resources, 20'000) == 50U);
}

BOOST_AUTO_TEST_SUITE_END()
