#include "scenario/config/config_checker.h"

#include "core/store/log_format.h"
#include "scenario/runner.h"

namespace buckthornspar::scenario {

using config::patch_status;

void config_checker::on_write(const store::kv_entry& entry) {
    if (entry.key.find("/slot/") == std::string::npos) {
        return;
    }
    const auto record = store::decode_record(entry.value);
    const std::string version = "version " + std::to_string(record.number);
    if (record.number != newest() + 1) {
        throw violation(version + " was written after version " + std::to_string(newest()));
    }
    if (!m_reference.apply(record.body) || m_reference.version() != record.number) {
        throw violation(version + " does not follow from the version before");
    }
    const config::accepted_patch accepted = m_reference.patches().back();
    m_content[record.number] = config::to_json(m_reference.in_force());
    if (!m_version_of_id.emplace(accepted.id, record.number).second) {
        throw violation("patch " + accepted.id + " became a second version, " + version);
    }
    check_not_written(accepted.id);
}

void config_checker::on_submitted(const config::patch& p) {
    ++m_submissions[p.id].open;
}

void config_checker::on_result(const config::patch& p, const config::patch_result& result) {
    submission_counts& s = m_submissions[p.id];
    if (result.status == patch_status::accepted) {
        const auto position = m_version_of_id.find(p.id);
        if (position == m_version_of_id.end() || position->second != result.version) {
            throw violation("patch " + p.id + " was accepted as version " +
                            std::to_string(result.version) + ", which is not in the store");
        }
        m_accepted.insert(p.id);
    }
    if (result.status == patch_status::outcome_unknown) {
        return;
    }
    --s.open;
    s.refused += result.status == patch_status::accepted ? 0 : 1;
    check_not_written(p.id);
}

void config_checker::check_not_written(const std::string& id) const {
    const auto position = m_submissions.find(id);
    const bool all_refused = position == m_submissions.end() ||
                             (position->second.open == 0 && position->second.refused > 0);
    if (all_refused && m_version_of_id.contains(id) && !m_accepted.contains(id)) {
        throw violation("patch " + id + " was refused but is a version");
    }
}

void config_checker::on_version(const std::string& process, const config::config_view& view) {
    std::uint64_t& seen = m_seen[process];
    if (view.version() < seen) {
        throw violation(process + " went back from version " + std::to_string(seen) + " to " +
                        std::to_string(view.version()));
    }
    if (view.version() == seen) {
        return;
    }
    seen = view.version();
    if (seen > newest()) {
        throw violation(process + " has version " + std::to_string(seen) + " that is not written");
    }
    if (m_content.at(seen) != config::to_json(view.in_force())) {
        throw violation(process + " has different content in version " + std::to_string(seen));
    }
}

} // namespace buckthornspar::scenario
