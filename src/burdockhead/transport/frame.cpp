#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/transport/frame.h>

#include <array>

namespace burdockhead {

namespace {

constexpr std::uint64_t maxHttpStatus = 999;
constexpr std::uint64_t maxPriority = 9;
// Longer times are cut, so that adding one to a time point can't overflow.
constexpr std::uint64_t maxMilliseconds = 7ULL * 24 * 3600 * 1000;

void writeTime(MessageWriter &writer, TimePoint when, TimePoint now)
{
    writer.number(static_cast<std::uint64_t>(millisecondsUntil(when, now)));
}

TimePoint readTime(MessageReader &reader, TimePoint now)
{
    return now + Milliseconds(std::min(reader.number(), maxMilliseconds));
}

void write(MessageWriter &writer, const AttemptId &id)
{
    writer.number(id.m_issuer).number(id.m_sequence);
}

AttemptId readAttempt(MessageReader &reader)
{
    AttemptId id;
    id.m_issuer = reader.number();
    id.m_sequence = reader.number();
    return id;
}

void write(MessageWriter &writer, const HybridTime &time)
{
    writer.number(time.m_milliseconds).number(time.m_counter);
}

HybridTime readHybridTime(MessageReader &reader)
{
    HybridTime time;
    time.m_milliseconds = reader.number();
    time.m_counter = reader.number();
    return time;
}

void write(MessageWriter &writer, const LoadReport &load)
{
    writer.number(load.m_running).number(load.m_queued).number(load.m_concurrencyLimit);
    writer.number(load.m_averageServiceMicroseconds).flag(load.m_isCold).flag(load.m_isLeaving);
}

LoadReport readLoad(MessageReader &reader)
{
    LoadReport load;
    load.m_running = static_cast<std::uint32_t>(reader.number());
    load.m_queued = static_cast<std::uint32_t>(reader.number());
    load.m_concurrencyLimit = static_cast<std::uint32_t>(reader.number());
    load.m_averageServiceMicroseconds = static_cast<std::uint32_t>(reader.number());
    load.m_isCold = reader.flag();
    load.m_isLeaving = reader.flag();
    return load;
}

void write(MessageWriter &writer, const RequestAttributes &facts, TimePoint now)
{
    writer.number(facts.m_id.m_high).number(facts.m_id.m_low);
    writer.text(facts.m_workspace.text()).text(facts.m_kind.text());
    writer.text(facts.m_model.text()).text(facts.m_adapter.text());
    writer.number(facts.m_prefixHash).number(facts.m_priority).flag(facts.m_repeatable);
    writer.text(facts.m_idempotencyKey);
    writeTime(writer, facts.m_deadline, now);
}

RequestAttributes readFacts(MessageReader &reader, TimePoint now)
{
    RequestAttributes facts;
    facts.m_id.m_high = reader.number();
    facts.m_id.m_low = reader.number();
    facts.m_workspace = WorkspaceName(reader.text());
    facts.m_kind = KindName(reader.text());
    facts.m_model = ModelName(reader.text());
    facts.m_adapter = AdapterName(reader.text());
    facts.m_prefixHash = reader.number();
    const std::uint64_t priority = reader.number();
    if (priority > maxPriority)
        reader.fail();
    facts.m_priority = static_cast<std::uint32_t>(priority);
    facts.m_repeatable = reader.flag();
    facts.m_idempotencyKey = reader.text();
    facts.m_deadline = readTime(reader, now);
    return facts;
}

void writeBody(MessageWriter &writer, const HelloFrame &frame, TimePoint)
{
    writer.text(frame.m_process.text()).number(frame.m_incarnation.m_value);
    writer.number(frame.m_configurationVersion);
}

Frame readHello(MessageReader &reader, TimePoint)
{
    HelloFrame frame;
    frame.m_process = ProcessName(reader.text());
    frame.m_incarnation.m_value = reader.number();
    frame.m_configurationVersion = reader.number();
    return frame;
}

void writeBody(MessageWriter &writer, const DispatchFrame &frame, TimePoint now)
{
    write(writer, frame.m_attempt);
    writer.number(frame.m_boundTo.m_value).number(frame.m_configurationVersion);
    write(writer, frame.m_facts, now);
    writer.text(frame.m_method).text(frame.m_path).text(frame.m_contentType).text(frame.m_body);
    writer.flag(frame.m_onlyIfKnown);
    write(writer, frame.m_sentAt);
}

Frame readDispatch(MessageReader &reader, TimePoint now)
{
    DispatchFrame frame;
    frame.m_attempt = readAttempt(reader);
    frame.m_boundTo.m_value = reader.number();
    frame.m_configurationVersion = reader.number();
    frame.m_facts = readFacts(reader, now);
    frame.m_method = reader.text();
    frame.m_path = reader.text();
    frame.m_contentType = reader.text();
    frame.m_body = reader.text();
    frame.m_onlyIfKnown = reader.flag();
    frame.m_sentAt = readHybridTime(reader);
    return frame;
}

void writeBody(MessageWriter &writer, const CancelFrame &frame, TimePoint)
{
    write(writer, frame.m_attempt);
}

Frame readCancel(MessageReader &reader, TimePoint)
{
    return CancelFrame{readAttempt(reader)};
}

void writeBody(MessageWriter &writer, const HeadFrame &frame, TimePoint)
{
    write(writer, frame.m_attempt);
    writer.number(static_cast<std::uint64_t>(frame.m_status));
    writer.text(frame.m_contentType).flag(frame.m_replayed);
    write(writer, frame.m_sentAt);
}

Frame readHead(MessageReader &reader, TimePoint)
{
    HeadFrame frame;
    frame.m_attempt = readAttempt(reader);
    const std::uint64_t status = reader.number();
    if (status > maxHttpStatus)
        reader.fail();
    frame.m_status = static_cast<int>(status);
    frame.m_contentType = reader.text();
    frame.m_replayed = reader.flag();
    frame.m_sentAt = readHybridTime(reader);
    return frame;
}

void writeBody(MessageWriter &writer, const DataFrame &frame, TimePoint)
{
    write(writer, frame.m_attempt);
    writer.number(frame.m_offset).text(frame.m_data);
}

Frame readData(MessageReader &reader, TimePoint)
{
    DataFrame frame;
    frame.m_attempt = readAttempt(reader);
    frame.m_offset = reader.number();
    frame.m_data = reader.text();
    return frame;
}

void writeBody(MessageWriter &writer, const EndFrame &frame, TimePoint)
{
    write(writer, frame.m_attempt);
    writer.number(frame.m_length);
    write(writer, frame.m_load);
    write(writer, frame.m_sentAt);
}

Frame readEnd(MessageReader &reader, TimePoint)
{
    EndFrame frame;
    frame.m_attempt = readAttempt(reader);
    frame.m_length = reader.number();
    frame.m_load = readLoad(reader);
    frame.m_sentAt = readHybridTime(reader);
    return frame;
}

void writeBody(MessageWriter &writer, const FailureFrame &frame, TimePoint now)
{
    write(writer, frame.m_attempt);
    writer.number(static_cast<std::uint64_t>(frame.m_kind));
    writer.number(static_cast<std::uint64_t>(frame.m_runState));
    writer.text(frame.m_reason);
    writeTime(writer, frame.m_comeBack, now);
    write(writer, frame.m_load);
    write(writer, frame.m_sentAt);
}

Frame readFailure(MessageReader &reader, TimePoint now)
{
    FailureFrame frame;
    frame.m_attempt = readAttempt(reader);
    const std::uint64_t kind = reader.number();
    const std::uint64_t runState = reader.number();
    if (kind >= errorKindCount || runState > static_cast<std::uint64_t>(RunState::Unknown))
        reader.fail();
    else
        frame.m_kind = static_cast<ErrorKind>(kind);
    frame.m_runState = reader.ok() ? static_cast<RunState>(runState) : RunState::Unknown;
    frame.m_reason = reader.text();
    frame.m_comeBack = readTime(reader, now);
    frame.m_load = readLoad(reader);
    frame.m_sentAt = readHybridTime(reader);
    return frame;
}

using FrameReader = Frame (*)(MessageReader &, TimePoint);

// In the order of the variant's alternatives.
constexpr std::array<FrameReader, std::variant_size_v<Frame>> readers = {
    readHello, readDispatch, readCancel, readHead, readData, readEnd, readFailure};

} // namespace

std::string encodeFrame(const Frame &frame, TimePoint now)
{
    MessageWriter writer;
    writer.number(frame.index());
    std::visit([&](const auto &body) { writeBody(writer, body, now); }, frame);
    return writer.take();
}

std::optional<Frame> decodeFrame(std::string_view bytes, TimePoint now)
{
    MessageReader reader(bytes);
    const std::uint64_t index = reader.number();
    if (!reader.ok() || index >= readers.size())
        return std::nullopt;
    Frame frame = readers.at(index)(reader, now);
    if (!reader.complete())
        return std::nullopt;
    return frame;
}

} // namespace burdockhead
