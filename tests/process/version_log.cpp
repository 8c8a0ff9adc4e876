#include "process/version_log.h"

#include <boost/date_time/posix_time/posix_time.hpp>

#include <sstream>

namespace buckthornspar::process_test {

namespace {

std::int64_t to_us(const boost::posix_time::ptime& time) {
    const boost::posix_time::ptime epoch(boost::gregorian::date(1970, 1, 1));
    return (time - epoch).total_microseconds();
}

// Value of "key=" in a log line; empty if the line does not contain the key.
std::string value_of(const std::string& line, const std::string& key) {
    const auto position = line.find(key + "=");
    if (position == std::string::npos) {
        return {};
    }
    const auto start = position + key.size() + 1;
    return line.substr(start, line.find(' ', start) - start);
}

} // namespace

std::vector<version_seen> versions_seen(const std::string& log) {
    std::vector<version_seen> seen;
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line)) {
        // The last line may be incomplete.
        if (lines.eof() || value_of(line, "event") != "config_in_force") {
            continue;
        }
        const auto time = boost::posix_time::from_iso_extended_string(value_of(line, "time"));
        seen.push_back({std::stoll(value_of(line, "version")), to_us(time)});
    }
    return seen;
}

std::int64_t last_version(const std::string& log) {
    const auto seen = versions_seen(log);
    return seen.empty() ? 0 : seen.back().version;
}

std::int64_t local_time_us() {
    return to_us(boost::posix_time::microsec_clock::local_time());
}

} // namespace buckthornspar::process_test
