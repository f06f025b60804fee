#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/quarantine/quarantinemessage.h>

#include <algorithm>

namespace burdockhead {

namespace {

// Tells the message from the other ones on its port, which begin with other numbers.
constexpr std::uint64_t messageVersion = 6;
constexpr std::size_t maxCrashes = 16;
constexpr std::size_t maxSuspects = 256;
constexpr std::size_t maxSoundParts = 512;
constexpr std::size_t maxEntries = 64;
// A longer time means that the sender's arithmetic is wrong.
constexpr std::uint64_t maxMilliseconds = 7ULL * 24 * 3600 * 1000;

void writeAge(MessageWriter &writer, TimePoint time, TimePoint now)
{
    writer.number(static_cast<std::uint64_t>(millisecondsUntil(now, time)));
}

Milliseconds readSpan(MessageReader &reader)
{
    const std::uint64_t span = reader.number();
    if (span > maxMilliseconds)
        reader.fail();
    return Milliseconds(reader.ok() ? static_cast<std::int64_t>(span) : 0);
}

void writePart(MessageWriter &writer, const PromptPart &part)
{
    writer.text(part.m_service.text()).text(part.m_id);
}

PromptPart readPart(MessageReader &reader)
{
    PromptPart part;
    part.m_service = GroupName(reader.text());
    part.m_id = reader.text();
    return part;
}

void writeCrash(MessageWriter &writer, const CrashReport &crash, TimePoint now)
{
    writer.text(crash.m_endpoint.m_name.text()).number(crash.m_endpoint.m_startedAt);
    writer.text(crash.m_service.text());
    writeAge(writer, crash.m_crashedAt, now);
    writeAge(writer, std::max(crash.m_lastProgressAt, now - Milliseconds(maxMilliseconds)), now);
    writer.number(crash.m_suspects.size());
    for (const std::string &suspect : crash.m_suspects)
        writer.text(suspect);
    writer.number(crash.m_requests.size());
    for (const auto &[id, sentAt] : crash.m_requests) {
        writer.text(id);
        writeAge(writer, std::max(sentAt, now - Milliseconds(maxMilliseconds)), now);
    }
}

CrashReport readCrash(MessageReader &reader, TimePoint now)
{
    CrashReport crash;
    crash.m_endpoint.m_name = EndpointName(reader.text());
    crash.m_endpoint.m_startedAt = reader.number();
    crash.m_service = GroupName(reader.text());
    crash.m_crashedAt = now - readSpan(reader);
    crash.m_lastProgressAt = now - readSpan(reader);
    const std::size_t suspects = reader.listLength(maxSuspects);
    for (std::size_t index = 0; index < suspects; ++index)
        crash.m_suspects.insert(reader.text());
    const std::size_t requests = reader.listLength(maxSuspects);
    for (std::size_t index = 0; index < requests; ++index) {
        const std::string id = reader.text();
        crash.m_requests[id] = now - readSpan(reader);
    }
    return crash;
}

void writeEntry(MessageWriter &writer, const QuarantineEntry &entry, TimePoint now)
{
    writePart(writer, entry.m_part);
    writer.number(entry.m_revision).flag(entry.m_isActive).number(entry.m_level);
    writeAge(writer, entry.m_changedAt, now);
    writer.number(static_cast<std::uint64_t>(millisecondsUntil(entry.m_probeAt, now)));
    writer.number(entry.m_outages).text(entry.m_decidedBy.text());
}

QuarantineEntry readEntry(MessageReader &reader, TimePoint now)
{
    QuarantineEntry entry;
    entry.m_part = readPart(reader);
    entry.m_revision = reader.number();
    entry.m_isActive = reader.flag();
    entry.m_level = static_cast<unsigned>(reader.number());
    entry.m_changedAt = now - readSpan(reader);
    entry.m_probeAt = now + readSpan(reader);
    entry.m_outages = reader.number();
    entry.m_decidedBy = ProcessName(reader.text());
    return entry;
}

} // namespace

std::string writeQuarantineMessage(const QuarantineMessage &message, TimePoint now)
{
    MessageWriter writer;
    writer.number(messageVersion).number(message.m_crashes.size());
    for (const CrashReport &crash : message.m_crashes)
        writeCrash(writer, crash, now);
    writer.number(message.m_soundParts.size());
    for (const auto &[part, soundAt] : message.m_soundParts) {
        writePart(writer, part);
        writeAge(writer, soundAt, now);
    }
    writer.number(message.m_entries.size());
    for (const QuarantineEntry &entry : message.m_entries)
        writeEntry(writer, entry, now);
    return writer.take();
}

std::optional<QuarantineMessage> readQuarantineMessage(std::string_view datagram, TimePoint now)
{
    MessageReader reader(datagram);
    if (reader.number() != messageVersion)
        return std::nullopt;
    QuarantineMessage message;
    message.m_crashes.resize(reader.listLength(maxCrashes));
    for (CrashReport &crash : message.m_crashes)
        crash = readCrash(reader, now);
    message.m_soundParts.resize(reader.listLength(maxSoundParts));
    for (auto &[part, soundAt] : message.m_soundParts) {
        part = readPart(reader);
        soundAt = now - readSpan(reader);
    }
    message.m_entries.resize(reader.listLength(maxEntries));
    for (QuarantineEntry &entry : message.m_entries)
        entry = readEntry(reader, now);
    if (!reader.complete())
        return std::nullopt;
    return message;
}

} // namespace burdockhead
