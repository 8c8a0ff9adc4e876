#include "core/common/logging.h"

#include "core/common/name_table.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace buckthornspar::common {

namespace {

namespace blog = boost::log;

constexpr name_table<severity, 4> severity_names{"log level",
                                                 {"debug", "info", "warning", "error"}};

std::string& process_name() {
    static std::string name;
    return name;
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"=\n\t") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value) {
    if (!needs_quotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
        }
        line.push_back(c == '\n' ? ' ' : c);
    }
    line.push_back('"');
}

} // namespace

void init_logging(const std::string& process_id, const std::string& level) {
    const severity threshold = severity_names.value(level);
    process_name() = process_id;
    blog::add_common_attributes();
    blog::add_console_log(std::clog, blog::keywords::auto_flush = true,
                          blog::keywords::format =
                              (blog::expressions::stream
                               << "time="
                               << blog::expressions::format_date_time<boost::posix_time::ptime>(
                                      "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                               << " " << blog::expressions::smessage));
    blog::core::get()->set_filter(blog::expressions::attr<severity>("Severity") >= threshold);
}

void log_event(severity level, std::string_view event, std::initializer_list<log_field> fields) {
    static blog::sources::severity_logger_mt<severity> logger;
    std::string line;
    line.append("level=").append(severity_names.name(level));
    line.append(" process=").append(process_name());
    line.append(" event=").append(event);
    for (const auto& field : fields) {
        line.append(" ").append(field.key).append("=");
        append_value(line, field.value);
    }
    BOOST_LOG_SEV(logger, level) << line;
}

} // namespace buckthornspar::common
