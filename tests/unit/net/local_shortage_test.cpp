#include "core/net/event_loop.h"
#include "core/net/http_client.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

#include <future>

using namespace buckthornspar::net;
using namespace std::chrono_literals;

namespace {

/// No further descriptor can be opened while an object lives.
class no_descriptors {
public:
    no_descriptors() {
        BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &m_before) == 0);
        auto limit = m_before;
        limit.rlim_cur = 3;
        BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
    }
    ~no_descriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    no_descriptors(const no_descriptors&) = delete;
    no_descriptors& operator=(const no_descriptors&) = delete;

private:
    rlimit m_before{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(local_shortage_suite)

// Guards against a node that takes its own lack of descriptors for a peer's closed port, which
// shows that an owner has ended.
BOOST_AUTO_TEST_CASE(a_lack_of_descriptors_is_not_a_refused_connection) {
    event_loop loop;
    http_client client(loop, {});
    loop.start();
    const auto kind_of_failure = [&] {
        std::promise<http_result> answered;
        client.send({"127.0.0.1", 1}, json_post("/", "{}"), 1s,
                    [&](http_result result) { answered.set_value(std::move(result)); });
        return std::get<http_failure>(answered.get_future().get()).kind;
    };
    BOOST_TEST((kind_of_failure() == http_failure_kind::connect_failed));
    {
        const no_descriptors shortage;
        BOOST_TEST((kind_of_failure() == http_failure_kind::pool_exhausted));
    }
    loop.stop();
}

BOOST_AUTO_TEST_SUITE_END()
