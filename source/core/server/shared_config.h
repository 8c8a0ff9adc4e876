#pragma once

#include "core/config/config_view.h"
#include "core/server/config_replica.h"

#include <functional>
#include <mutex>
#include <string>

namespace buckthornspar::server {

/// Thread-safe replica of the configuration. The records exchanged between processes hold the
/// changes of one version, or the whole configuration for a process that lacks the preceding
/// versions.
class shared_config final : public config_replica {
public:
    /// Called for each new version in force, in version order. Must not call into shared_config.
    using listener = std::function<void(std::uint64_t version, const config::configuration&)>;

    explicit shared_config(listener on_change) : m_on_change(std::move(on_change)) {}

    [[nodiscard]] std::uint64_t version() const override;
    void apply(const std::vector<peer::config_record>& records) override;
    [[nodiscard]] std::vector<peer::config_record> since(std::uint64_t version) const override;

    struct snapshot {
        std::uint64_t version = 0;
        config::configuration in_force;
    };
    [[nodiscard]] snapshot in_force() const;

private:
    mutable std::mutex m_mutex;
    listener m_on_change;
    config::config_view m_view;
};

} // namespace buckthornspar::server
