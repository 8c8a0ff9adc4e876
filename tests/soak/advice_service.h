#pragma once

#include "core/net/http_server.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace buckthornspar::net {
class event_loop;
}

namespace buckthornspar::soak {

class link_board;

/// Times of an answer and of a ticket, those of a site whose gangs were lost.
constexpr std::int64_t advice_decide_ms = 410;
constexpr std::int64_t advice_each_ms = 6;
constexpr std::int64_t ticket_valid_ms = 2500;

/// Whether the advice admits the worker to the step; this does not change.
[[nodiscard]] bool is_admitted(const std::string& step, const std::string& worker);
/// Whether the ticket is for the step and this life of the worker, and is still valid.
[[nodiscard]] bool is_valid_ticket(const std::string& ticket, const std::string& step,
                                   const std::string& worker, std::int64_t born_ms);

/// Stand-in for the platform's advice service as one node reaches it: it takes the calls of the
/// node one at a time. Runs on the loop's thread.
class advice_service final : public net::http_handler {
public:
    /// Tells the start time of a worker.
    using life_function = std::function<std::int64_t(const std::string& worker)>;

    advice_service(net::event_loop& loop, link_board& links, std::string node,
                   life_function born_of)
        : m_loop(loop), m_links(links), m_node(std::move(node)), m_born_of(std::move(born_of)) {}

    void handle(net::http_request request, net::http_reply reply) override;

private:
    struct call {
        std::string step;
        std::vector<std::string> workers;
        net::http_reply reply;
    };

    void decide_next();
    void answer();

    net::event_loop& m_loop;
    link_board& m_links;
    std::string m_node;
    life_function m_born_of;
    /// The first is being decided, the others wait.
    std::deque<call> m_calls;
};

} // namespace buckthornspar::soak
