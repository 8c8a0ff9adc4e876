#pragma once

#include "core/config/config_service.h"
#include "core/config/config_view.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace buckthornspar::scenario {

/// Checks that the observations of the store, the processes and the operators are consistent;
/// throws violation otherwise.
class config_checker {
public:
    /// Called when a write to the store took effect. Checks that each version is written once, that
    /// no patch becomes two versions, and that a refused patch does not become a version.
    void on_write(const store::kv_entry& entry);

    void on_submitted(const config::patch& p);
    /// Checks that an accepted patch is the reported version and that a refused patch is no
    /// version.
    void on_result(const config::patch& p, const config::patch_result& result);

    /// Checks that the version of a process never decreases and that its content results from all
    /// patches up to it.
    void on_version(const std::string& process, const config::config_view& view);
    /// Called when a process restarts: its version starts at 0 again.
    void forget(const std::string& process) { m_seen.erase(process); }

    [[nodiscard]] std::uint64_t newest() const { return m_reference.version(); }

private:
    struct submission_counts {
        int open = 0; ///< without a result, or with an unknown outcome
        int refused = 0;
    };

    void check_not_written(const std::string& id) const;

    std::map<std::string, std::uint64_t> m_version_of_id;
    std::map<std::string, submission_counts> m_submissions;
    std::set<std::string> m_accepted;
    std::map<std::string, std::uint64_t> m_seen;
    config::config_history m_reference{100};
    std::map<std::uint64_t, std::string> m_content;
};

} // namespace buckthornspar::scenario
