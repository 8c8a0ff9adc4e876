#pragma once

#include "core/config/config_service.h"
#include "core/config/config_view.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace buckthornspar::scenario {

/// Observes what the store, the processes and the operators see, and throws violation when it does
/// not fit together.
class config_ledger {
public:
    /// A write to the store took effect. One winner a version; no patch becomes two versions; a
    /// refused patch leaves no trace.
    void on_write(const store::kv_entry& entry);

    void on_submitted(const config::patch& p);
    /// An accepted patch is that version; a refused one is none.
    void on_answer(const config::patch& p, const config::patch_answer& answer);

    /// The version of a process only grows, and its content is that of all patches up to it.
    void on_version(const std::string& process, const config::config_view& view);
    /// A new process under the same name starts anew.
    void forget(const std::string& process) { m_seen.erase(process); }

    [[nodiscard]] std::uint64_t newest() const { return m_reference.version(); }

private:
    struct submissions {
        int open = 0; ///< not answered, or answered with an unknown outcome
        int refused = 0;
    };

    void check_trace(const std::string& id) const;

    std::map<std::string, std::uint64_t> m_version_of_id;
    std::map<std::string, submissions> m_submissions;
    std::set<std::string> m_accepted;
    std::map<std::string, std::uint64_t> m_seen;
    config::config_history m_reference{100};
    std::map<std::uint64_t, std::string> m_content;
};

} // namespace buckthornspar::scenario
