#include "soak/link_board.h"

#include <algorithm>

namespace buckthornspar::soak {

link_board::link_name link_board::name_of(const std::string& one, const std::string& other) {
    return std::minmax(one, other);
}

void link_board::cut(const std::string& one, const std::string& other) {
    ++m_links[name_of(one, other)].cuts;
}

void link_board::restore(const std::string& one, const std::string& other) {
    auto& link = m_links[name_of(one, other)];
    link.cuts = std::max(0, link.cuts - 1);
    if (link.cuts == 0) {
        link.held.clear();
    }
}

bool link_board::is_cut(const std::string& one, const std::string& other) const {
    const auto position = m_links.find(name_of(one, other));
    return position != m_links.end() && position->second.cuts > 0;
}

net::http_reply link_board::guard(const std::string& one, const std::string& other,
                                  net::http_reply reply) {
    return [this, one, other, reply = std::move(reply)](net::http_response response) {
        if (is_cut(one, other)) {
            hold(one, other, reply);
        } else {
            reply(std::move(response));
        }
    };
}

void link_board::hold(const std::string& one, const std::string& other, net::http_reply reply) {
    m_links[name_of(one, other)].held.push_back(std::move(reply));
}

} // namespace buckthornspar::soak
