#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/ratelimit/ratemessage.h>

#include <cmath>

namespace burdockhead {

namespace {

// Tells the message from the other ones on its port, which begin with other numbers.
constexpr std::uint64_t messageVersion = 5;
constexpr std::size_t maxStatements = 64;
// A longer time means that the sender's arithmetic is wrong.
constexpr std::uint64_t maxMilliseconds = 24ULL * 3600 * 1000;

TimePoint readTime(MessageReader &reader, TimePoint now)
{
    const std::uint64_t age = reader.number();
    if (age > maxMilliseconds)
        reader.fail();
    return now - Milliseconds(reader.ok() ? static_cast<std::int64_t>(age) : 0);
}

RateStatement readStatement(MessageReader &reader, TimePoint now)
{
    RateStatement statement;
    statement.m_endpoint.m_name = EndpointName(reader.text());
    statement.m_endpoint.m_startedAt = reader.number();
    const bool hasRate = reader.flag();
    const double rate = reader.real();
    if (!std::isfinite(rate) || rate < 0)
        reader.fail();
    if (hasRate)
        statement.m_requestsPerSecond = rate;
    statement.m_requestedAt = readTime(reader, now);
    statement.m_respondedAt = readTime(reader, now);
    if (statement.m_requestedAt > statement.m_respondedAt)
        reader.fail();
    return statement;
}

} // namespace

std::string writeRateMessage(const std::vector<RateStatement> &statements, TimePoint now)
{
    const auto age = [now](TimePoint time) {
        return static_cast<std::uint64_t>(millisecondsUntil(now, time));
    };
    MessageWriter writer;
    writer.number(messageVersion).number(statements.size());
    for (const RateStatement &statement : statements) {
        writer.text(statement.m_endpoint.m_name.text()).number(statement.m_endpoint.m_startedAt);
        writer.flag(statement.m_requestsPerSecond.has_value())
            .real(statement.m_requestsPerSecond.value_or(0));
        writer.number(age(statement.m_requestedAt)).number(age(statement.m_respondedAt));
    }
    return writer.take();
}

std::optional<std::vector<RateStatement>> readRateMessage(std::string_view datagram, TimePoint now)
{
    MessageReader reader(datagram);
    if (reader.number() != messageVersion)
        return std::nullopt;
    std::vector<RateStatement> statements(reader.listLength(maxStatements));
    for (RateStatement &statement : statements)
        statement = readStatement(reader, now);
    if (!reader.complete())
        return std::nullopt;
    return statements;
}

} // namespace burdockhead
