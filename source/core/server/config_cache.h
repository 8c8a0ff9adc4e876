#pragma once

#include "core/server/config_holder.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace buckthornspar::server {

/// The newest configuration records that this process knows. The version only grows.
class config_cache final : public config_holder {
public:
    /// Told of each new version in force, with the JSON of its record, in order of version.
    using listener = std::function<void(std::uint64_t version, const std::string& body)>;

    explicit config_cache(listener on_change) : m_on_change(std::move(on_change)) {}

    [[nodiscard]] std::uint64_t version() const override;
    void apply(const std::vector<peer::config_record>& records) override;
    [[nodiscard]] std::vector<peer::config_record> since(std::uint64_t version) const override;

private:
    mutable std::mutex m_mutex;
    listener m_on_change;
    std::map<std::uint64_t, std::string> m_records;
};

} // namespace buckthornspar::server
