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
    /// Longest time until a patch is answered.
    common::duration patch_timeout = std::chrono::seconds(5);
    /// Patches that are kept to recognise repeated ids, to show history and to undo. Must be larger
    /// than the ring of the log, so that a lost answer can always be settled by the patch id.
    std::size_t max_history = 2000;
};

enum class patch_status {
    accepted,         ///< in force as answer.version; also the answer to a repetition
    valid,            ///< a dry run that would be accepted
    invalid,          ///< see error_type, detail and field
    version_conflict, ///< another version is in force; fields name the clashing changes
    unknown_version,  ///< the named version does not exist or is not kept any more
    id_reused,        ///< another patch with this id was accepted
    undo_conflict,    ///< later versions changed the fields that are to be restored
    queue_full,       ///< not accepted; too many patches are waiting
    /// This submission was not accepted and never will be. An earlier one with the same id, whose
    /// outcome is unknown, still may.
    store_unavailable,
    outcome_unknown, ///< may become accepted; submit it again with the same id
};
[[nodiscard]] std::string_view to_string(patch_status status);

struct patch_answer {
    std::uint64_t ticket = 0;
    patch_status status = patch_status::invalid;
    /// The version of the patch when accepted, otherwise the version in force that is known here.
    std::uint64_t version = 0;
    std::vector<std::string> fields;
    std::string error_type;
    std::string detail;
    std::string field;
};

/// A version has come into force. record is what config_history::apply() reads.
struct version_advanced {
    std::uint64_t version = 0;
    std::string record;
};

using config_action = std::variant<store::store_call, patch_answer, version_advanced>;

/// Pure core of the config process: turns patches into versions of the configuration log.
class config_service {
public:
    /// Throws common::usage_error for options that cannot be used.
    config_service(config_service_options options, common::counters& counters);

    /// Reads the log for the first time.
    void start(common::time_point now);

    /// Reads the log again, for example because a peer has a higher version.
    void refresh(common::time_point now);

    /// Starts or stops waiting for versions that other processes accept.
    void set_watching(common::time_point now, bool on);

    /// Writes version 1, the default configuration, when the log has been read and is empty. Every
    /// process may do so at once; one version comes of it. The answer has the ticket 0.
    void ensure_first_version(common::time_point now, std::int64_t wall_ms);

    /// Ends with one patch_answer with the ticket. wall_ms is the time of the submission for the
    /// history.
    void submit(common::time_point now, std::uint64_t ticket, patch p, std::int64_t wall_ms);

    void on_response(common::time_point now, std::uint64_t call,
                     const store::kv_response& response);
    void on_time(common::time_point now);
    [[nodiscard]] std::optional<common::time_point> next_wakeup() const;
    [[nodiscard]] std::vector<config_action> take_actions();

    /// What this process has read of the log. It can be behind the version in force.
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
        /// The log was read again for this patch, so an unknown version does not exist.
        bool reread = false;
        /// The log is being read again for this patch.
        bool rereading = false;
        bool answered = false;
    };

    void advance(common::time_point now);
    /// Returns false when the patch at the front has to wait.
    bool try_front(common::time_point now);
    bool try_append(common::time_point now, const std::vector<change>& changes);
    [[nodiscard]] std::optional<patch_answer> answer_repetition(const patch& p) const;
    [[nodiscard]] std::optional<std::vector<change>> expand(const patch& p, patch_answer& answer);
    void reread_for_front(common::time_point now);
    void take_log_actions(common::time_point now);
    void on_record(const std::string& body);
    void on_append_settled(common::time_point now, const store::append_completed& settled);
    void write_snapshot(common::time_point now);
    void expire(common::time_point now);
    void answer_front(patch_answer answer);
    void finish_front(patch_answer answer);
    [[nodiscard]] patch_answer make_answer(patch_status status) const;

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
