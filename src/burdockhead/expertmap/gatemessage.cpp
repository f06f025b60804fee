#include <burdockhead/expertmap/gatecodec.h>
#include <burdockhead/expertmap/gatemessage.h>

#include <array>

namespace burdockhead {

namespace {

void writeBody(MessageWriter &, const AskRankState &)
{}

void writeBody(MessageWriter &writer, const RankState &message)
{
    writer.number(message.m_rank).number(message.m_nextStep).number(message.m_version);
    writer.flag(message.m_waiting);
    writeChangeId(writer, message.m_highest);
}

void writeBody(MessageWriter &writer, const StageMap &message)
{
    writeChangeId(writer, message.m_id);
    writer.text(message.m_map);
}

void writeBody(MessageWriter &writer, const MapStaged &message)
{
    writeChangeId(writer, message.m_id);
    writer.number(message.m_rank);
}

void writeBody(MessageWriter &writer, const PrepareSwitch &message)
{
    writeMapChange(writer, message.m_change);
}

void writeBody(MessageWriter &writer, const AskVote &message)
{
    writeMapChange(writer, message.m_change);
}

void writeBody(MessageWriter &writer, const SwitchVote &message)
{
    writeChangeId(writer, message.m_id);
    writer.number(message.m_rank).flag(message.m_promised);
}

void writeBody(MessageWriter &writer, const SwitchVerdict &message)
{
    writeChangeId(writer, message.m_id);
    writer.flag(message.m_live);
}

std::uint32_t readRank(MessageReader &reader)
{
    return static_cast<std::uint32_t>(reader.number());
}

GateMessage readAskRankState(MessageReader &)
{
    return AskRankState();
}

GateMessage readRankState(MessageReader &reader)
{
    RankState message;
    message.m_rank = readRank(reader);
    message.m_nextStep = reader.number();
    message.m_version = reader.number();
    message.m_waiting = reader.flag();
    message.m_highest = readChangeId(reader);
    return message;
}

GateMessage readStageMap(MessageReader &reader)
{
    StageMap message;
    message.m_id = readChangeId(reader);
    message.m_map = reader.text();
    return message;
}

GateMessage readMapStaged(MessageReader &reader)
{
    MapStaged message;
    message.m_id = readChangeId(reader);
    message.m_rank = readRank(reader);
    return message;
}

GateMessage readPrepareSwitch(MessageReader &reader)
{
    return PrepareSwitch{readMapChange(reader)};
}

GateMessage readAskVote(MessageReader &reader)
{
    return AskVote{readMapChange(reader)};
}

GateMessage readSwitchVote(MessageReader &reader)
{
    SwitchVote message;
    message.m_id = readChangeId(reader);
    message.m_rank = readRank(reader);
    message.m_promised = reader.flag();
    return message;
}

GateMessage readSwitchVerdict(MessageReader &reader)
{
    SwitchVerdict message;
    message.m_id = readChangeId(reader);
    message.m_live = reader.flag();
    return message;
}

using BodyReader = GateMessage (*)(MessageReader &);

// In the order of the variant's alternatives, whose index stands before the body.
constexpr std::array<BodyReader, std::variant_size_v<GateMessage>> bodyReaders = {
    readAskRankState,  readRankState, readStageMap,   readMapStaged,
    readPrepareSwitch, readAskVote,   readSwitchVote, readSwitchVerdict,
};

} // namespace

std::string encodeGateMessage(const GateMessage &message)
{
    MessageWriter writer;
    writer.number(message.index());
    std::visit([&writer](const auto &body) { writeBody(writer, body); }, message);
    return writer.take();
}

std::optional<GateMessage> decodeGateMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    const std::uint64_t index = reader.number();
    if (!reader.ok() || index >= bodyReaders.size())
        return std::nullopt;
    GateMessage message = bodyReaders[index](reader);
    if (!reader.complete())
        return std::nullopt;
    return message;
}

} // namespace burdockhead
