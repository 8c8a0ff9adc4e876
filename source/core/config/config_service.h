#pragma once

#include "core/common/clock.h"
#include "core/common/counters.h"
#include "core/config/config_history.h"
#include "core/config/patch.h"
#include "core/store/sequenced_log.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace buckthornspar::config {

struct config_service_options {
    store::sequenced_log_options log;
    configuration_rules rules;
    std::size_t max_queued_patches = 64;
    /// Maximum time until the result of a patch is reported.
    common::duration patch_timeout = std::chrono::seconds(5);
    /// Number of patches kept for duplicate detection, history and undo. Must be larger than the
    /// ring of the log, so that the outcome of a write whose response was lost can always be
    /// determined from the patch id.
    std::size_t max_history = 2000;
};

enum class patch_status {
    accepted,         ///< in force as patch_result::version; also reported for a repeated patch
    valid,            ///< dry run of a patch that would be accepted
    invalid,          ///< see error_type, detail and field
    version_conflict, ///< another version is in force; fields lists the conflicting changes
    unknown_version,  ///< the given version does not exist or is no longer kept
    id_reused,        ///< a different patch with this id was accepted
    undo_conflict,    ///< later versions changed the fields to be restored
    queue_full,       ///< not accepted; too many patches are queued
    /// This submission was not accepted and never will be. An earlier submission with the same id
    /// whose outcome is unknown may still be accepted.
    store_unavailable,
    outcome_unknown, ///< may still be accepted; submit it again with the same id
};
[[nodiscard]] std::string_view to_string(patch_status status);

struct patch_result {
    std::uint64_t ticket = 0;
    patch_status status = patch_status::invalid;
    /// The version created by the patch if it was accepted, otherwise the version in force as known
    /// to this process.
    std::uint64_t version = 0;
    std::vector<std::string> fields;
    std::string error_type;
    std::string detail;
    std::string field;
};

/// A version has come into force. record can be passed to config_history::apply().
struct version_advanced {
    std::uint64_t version = 0;
    std::string record;
};

using config_action = std::variant<store::store_call, patch_result, version_advanced>;

/// Core logic of the config process, without I/O: turns patches into versions of the configuration
/// log.
class config_service {
public:
    /// Throws common::usage_error for invalid options.
    config_service(config_service_options options, common::counters& counters);

    /// Reads the log for the first time.
    void start(common::time_point now);

    /// Reads the log again, for example when a peer has a higher version.
    void refresh(common::time_point now);

    /// Starts or stops watching the log for versions accepted by other processes.
    void set_watching(common::time_point now, bool on);

    /// Writes version 1, the default configuration, if the log has been read and is empty. Several
    /// processes may do this concurrently; only one version is created. The result has ticket 0.
    void ensure_first_version(common::time_point now, std::int64_t wall_ms);

    /// Produces exactly one patch_result with the ticket. wall_ms is the submission time that the
    /// history records.
    void submit(common::time_point now, std::uint64_t ticket, patch p, std::int64_t wall_ms);

    void on_response(common::time_point now, std::uint64_t call,
                     const store::kv_response& response);
    void on_time(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const;
    [[nodiscard]] std::vector<config_action> take_actions();

    /// The part of the log that this process has read. It can be behind the version in force.
    [[nodiscard]] const config_history& history() const { return m_history; }
    [[nodiscard]] bool loaded() const { return m_log.loaded(); }
    [[nodiscard]] bool store_available() const { return m_log.store_available(); }
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }

private:
    struct queued_patch {
        std::uint64_t ticket = 0;
        patch request;
        std::int64_t wall_ms = 0;
        common::time_point deadline;
        /// The log was read again for this patch, so a version that is still unknown does not
        /// exist.
        bool reloaded = false;
        /// The log is being read again for this patch.
        bool reloading = false;
        bool reported = false;
    };

    void process_queue(common::time_point now);
    /// Returns false if the patch at the front of the queue has to wait.
    bool process_front(common::time_point now);
    bool try_append(common::time_point now, const std::vector<change>& changes);
    [[nodiscard]] std::optional<patch_result> find_repeated_result(const patch& p) const;
    [[nodiscard]] std::optional<std::vector<change>> resolve_changes(const patch& p,
                                                                     patch_result& result);
    void reload_for_front(common::time_point now);
    void process_log_actions(common::time_point now);
    void on_record(const std::string& body);
    void on_append_settled(common::time_point now, const store::append_completed& settled);
    void write_snapshot(common::time_point now);
    void expire_patches(common::time_point now);
    void report_front(patch_result result);
    void complete_front(patch_result result);
    [[nodiscard]] patch_result make_result(patch_status status) const;

    config_service_options m_options;
    common::counters& m_counters;
    common::metric& m_version_metric;
    store::sequenced_log m_log;
    config_history m_history;
    std::deque<queued_patch> m_queue;
    /// The patch at the front is being appended.
    bool m_appending = false;
    std::vector<config_action> m_actions;
};

} // namespace buckthornspar::config
