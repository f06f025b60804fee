#include <burdockhead/observe/log.h>
#include <burdockhead/observe/wallclock.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace burdockhead {

namespace {

using Logger = boost::log::sources::severity_logger_mt<int>;

struct LogState
{
    Logger m_logger;
    std::string m_processName;
};

LogState &logState()
{
    static LogState value;
    return value;
}

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string::npos;
}

std::string quoted(const std::string &value)
{
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\')
            text.push_back('\\');
        const bool isControl = static_cast<unsigned char>(character) < ' ';
        text.push_back(isControl ? ' ' : character);
    }
    return text + "\"";
}

void writeLine(LogLevel level, const std::string &event, const LogFields &fields)
{
    LogState &log = logState();
    BOOST_LOG_SEV(log.m_logger, static_cast<int>(level))
        << "time=" << wallTimeText(wallMilliseconds()) << "Z "
        << logLine(level, log.m_processName, event, fields);
}

} // namespace

LogField::LogField(std::string key, std::string value)
    : m_key(std::move(key))
    , m_value(std::move(value))
{}

LogField::LogField(std::string key, const char *value)
    : m_key(std::move(key))
    , m_value(value)
{}

void initializeLog(LogLevel level, const std::string &processName)
{
    namespace expressions = boost::log::expressions;
    logState().m_processName = processName;
    boost::log::add_console_log(
        std::clog, boost::log::keywords::format = expressions::stream << expressions::smessage,
        boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(expressions::attr<int>("Severity")
                                        >= static_cast<int>(level));
}

void logInfo(const std::string &event, const LogFields &fields)
{
    writeLine(LogLevel::Info, event, fields);
}

void logWarning(const std::string &event, const LogFields &fields)
{
    writeLine(LogLevel::Warning, event, fields);
}

void logError(const std::string &event, const LogFields &fields)
{
    writeLine(LogLevel::Error, event, fields);
}

std::string logLine(LogLevel level, const std::string &processName, const std::string &event,
                    const LogFields &fields)
{
    std::string line = std::string("level=") + toString(level);
    line += " process=" + (needsQuotes(processName) ? quoted(processName) : processName);
    line += " event=" + event;
    for (const LogField &field : fields)
        line += " " + field.m_key + "="
                + (needsQuotes(field.m_value) ? quoted(field.m_value) : field.m_value);
    return line;
}

} // namespace burdockhead
