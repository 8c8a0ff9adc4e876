#include "core/scheduling/authority.h"

#include <algorithm>

namespace buckthornspar::scheduling {

void authority::note_accepted(const std::string& worker, common::time_point sent_at) {
    auto& known = m_accepted.try_emplace(worker, sent_at).first->second;
    known = std::max(known, sent_at);
}

bool authority::held(common::time_point now, const std::set<std::string>& workers) const {
    std::size_t recent = 0;
    for (const auto& [worker, sent_at] : m_accepted) {
        if (sent_at + m_validity > now && workers.contains(worker)) {
            ++recent;
        }
    }
    return recent * 2 > workers.size();
}

} // namespace buckthornspar::scheduling
