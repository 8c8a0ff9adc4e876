#pragma once

#include "core/common/counters.h"
#include "core/common/plugin_registry.h"
#include "core/dispatch/shared_store.h"
#include "core/dispatch/worker_link.h"
#include "core/net/endpoint.h"
#include "core/net/http_client.h"
#include "core/service/service_configuration.h"

#include <memory>
#include <string>

namespace buckthornspar::service {

/// Names and formats of the data that the platform and the callers write. The read functions throw
/// common::format_error.
class platform_format {
public:
    virtual ~platform_format() = default;
    /// Prefix of the store keys under which workers register.
    [[nodiscard]] virtual std::string worker_prefix() const = 0;
    /// Store key of the operators' configuration.
    [[nodiscard]] virtual std::string configuration_key() const = 0;
    [[nodiscard]] virtual dispatch::worker_report read_worker(const std::string& id,
                                                              const std::string& value) const = 0;
    [[nodiscard]] virtual service_configuration
    read_configuration(const std::string& value) const = 0;
    /// Reads a submission. The id, queue and time of acceptance are left for the caller to set.
    [[nodiscard]] virtual dispatch::job_spec read_submission(const std::string& body) const = 0;
    [[nodiscard]] virtual bool is_job_id(std::string_view text) const = 0;
    [[nodiscard]] virtual std::string state_body(dispatch::job_state state) const = 0;
    [[nodiscard]] virtual std::string pending_body(std::size_t jobs) const = 0;
    /// Name of the header field with the caller's deadline in milliseconds.
    [[nodiscard]] virtual std::string deadline_header() const = 0;
    /// Name of the header field with the key of the calling customer.
    [[nodiscard]] virtual std::string key_header() const = 0;
    [[nodiscard]] virtual std::string readiness_path() const = 0;

protected:
    platform_format() = default;
    platform_format(const platform_format&) = default;
    platform_format& operator=(const platform_format&) = default;
};

struct platform_context {
    net::http_client& client;
    common::counters& counters;
    net::endpoint store;
    net::endpoint advice;
    /// Time that a full page of the store takes over the node's link; 0 when unknown.
    common::duration page_time{0};
};

/// Access to the platform: its formats, store, workers and advice service.
class platform_adapter {
public:
    virtual ~platform_adapter() = default;
    [[nodiscard]] virtual const platform_format& format() const = 0;
    [[nodiscard]] virtual dispatch::shared_store& store() = 0;
    [[nodiscard]] virtual dispatch::worker_link& workers() = 0;
    [[nodiscard]] virtual dispatch::advice_source& advice() = 0;

protected:
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = default;
    platform_adapter& operator=(const platform_adapter&) = default;
};

using platform_registry = common::plugin_registry<platform_adapter, const platform_context&>;
using platform_registration =
    common::plugin_registration<platform_adapter, const platform_context&>;

} // namespace buckthornspar::service
