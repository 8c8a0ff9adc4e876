#pragma once

#include "core/common/clock.h"
#include "core/net/event_loop.h"
#include "fakes/fake_shared_store.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace buckthornspar::service::test {

/// A fake store and an event loop that the test drives.
struct service_fixture {
    void run_for(common::duration length) { loop.context().run_for(length); }

    /// Runs the loop until the condition holds; returns false if it does not within the limit.
    bool run_until(const std::function<bool()>& condition,
                   common::duration limit = std::chrono::seconds(5)) {
        const auto end = clock.now() + limit;
        while (!condition() && clock.now() < end) {
            loop.context().run_for(std::chrono::milliseconds(2));
        }
        return condition();
    }

    net::event_loop loop;
    common::system_clock clock;
    fakes::fake_shared_store store{loop};
};

} // namespace buckthornspar::service::test
