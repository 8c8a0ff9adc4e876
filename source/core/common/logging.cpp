#include "core/common/logging.h"

#include "core/common/log_output.h"
#include "core/common/name_table.h"

#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <unistd.h>
#include <utility>

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

// Log sink that drops lines instead of blocking on the reader of standard output.
class bounded_backend final
    : public blog::sinks::basic_formatted_sink_backend<
          char, blog::sinks::combine_requirements<blog::sinks::synchronized_feeding,
                                                  blog::sinks::flushing>::type> {
public:
    bounded_backend() : m_output(STDOUT_FILENO, {}) {}

    void consume(const blog::record_view& record, const std::string& line) {
        const auto level = blog::extract<severity>("Severity", record);
        const bool important = level && level.get() >= severity::warning;
        m_output.write(m_clock.now(), line, important);
    }

    void flush() { m_output.flush(); }
    void defer(std::function<void()> request_flush) { m_output.defer(std::move(request_flush)); }

private:
    system_clock m_clock;
    log_output m_output;
};

using bounded_sink = blog::sinks::synchronous_sink<bounded_backend>;

boost::shared_ptr<bounded_sink>& log_sink() {
    static boost::shared_ptr<bounded_sink> sink;
    return sink;
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
    const auto sink = boost::make_shared<bounded_sink>();
    log_sink() = sink;
    sink->set_formatter(blog::expressions::stream
                        << "time="
                        << blog::expressions::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " " << blog::expressions::smessage);
    blog::core::get()->add_sink(sink);
    blog::core::get()->set_filter(blog::expressions::attr<severity>("Severity") >= threshold);
}

void defer_log_lines(std::function<void()> request_flush) {
    if (const auto& sink = log_sink()) {
        sink->locked_backend()->defer(std::move(request_flush));
    }
}

void flush_log() {
    if (const auto& sink = log_sink()) {
        sink->flush();
    }
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
