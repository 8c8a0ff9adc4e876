#pragma once

#include "core/net/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace buckthornspar::membership {

enum class instance_role { worker, runner, entry, scheduler, config };
enum class instance_state { live, leaving };

/// One entry of the platform's instance list.
struct instance {
    std::string id;
    instance_role role = instance_role::worker;
    net::endpoint address;
    std::string region;
    std::string place;
    std::string rack;
    instance_state state = instance_state::live;
    /// Runners only: the service that the runner serves and its number of slots.
    std::string service;
    std::uint32_t slots = 0;
};

/// A snapshot of the list. It lags behind the actual state of the instances.
struct instance_snapshot {
    std::uint64_t index = 0;
    std::vector<instance> instances;
    /// Entries that cannot be read. An instance that is missing from the list may be one of them.
    std::size_t unreadable = 0;
};

/// Receives the snapshot, or an empty value if the list could not be read.
using instance_completion = std::function<void(std::optional<instance_snapshot>)>;

/// Interface to the platform's list of live and leaving instances, which lags behind their actual
/// state; see docs/platform-contract.md.
class instance_list {
public:
    virtual ~instance_list() = default;

    /// Reads the list. Calls the completion handler exactly once, on a thread that the
    /// implementation chooses.
    virtual void fetch(instance_completion complete) = 0;

protected:
    instance_list() = default;
    instance_list(const instance_list&) = default;
    instance_list& operator=(const instance_list&) = default;
};

} // namespace buckthornspar::membership
