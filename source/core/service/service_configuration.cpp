#include "core/service/service_configuration.h"

namespace buckthornspar::service {

const queue_route* service_configuration::find_route(std::string_view host,
                                                     std::string_view path) const {
    const auto name = host.substr(0, host.find(':'));
    const queue_route* best = nullptr;
    for (const auto& route : routes) {
        if (route.host == name && path.substr(0, route.prefix.size()) == route.prefix &&
            (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

std::vector<dispatch::queue_settings> service_configuration::queues() const {
    std::vector<dispatch::queue_settings> result;
    result.reserve(routes.size());
    for (const auto& route : routes) {
        result.push_back(route.queue);
    }
    return result;
}

} // namespace buckthornspar::service
