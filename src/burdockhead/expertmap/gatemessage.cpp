#include <burdockhead/expertmap/gatecodec.h>
#include <burdockhead/expertmap/gatemessage.h>

#include <array>

namespace burdockhead {

namespace {

void writeBody(MessageWriter &, const RankStateRequest &)
{}

void writeBody(MessageWriter &writer, const RankState &message)
{
    writer.number(message.m_rank).number(message.m_nextStep).number(message.m_liveVersion);
    writer.flag(message.m_isAwaitingOutcome);
    writeChangeId(writer, message.m_highestVotedId);
}

void writeBody(MessageWriter &writer, const StageMap &message)
{
    writeChangeId(writer, message.m_id);
    writer.text(message.m_encodedMap);
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

void writeBody(MessageWriter &writer, const VoteRequest &message)
{
    writeMapChange(writer, message.m_change);
}

void writeBody(MessageWriter &writer, const SwitchVote &message)
{
    writeChangeId(writer, message.m_id);
    writer.number(message.m_rank).flag(message.m_isPromised);
}

void writeBody(MessageWriter &writer, const SwitchOutcome &message)
{
    writeChangeId(writer, message.m_id);
    writer.flag(message.m_isLive);
}

std::uint32_t readRank(MessageReader &reader)
{
    return static_cast<std::uint32_t>(reader.number());
}

GateMessage readRankStateRequest(MessageReader &)
{
    return RankStateRequest();
}

GateMessage readRankState(MessageReader &reader)
{
    RankState message;
    message.m_rank = readRank(reader);
    message.m_nextStep = reader.number();
    message.m_liveVersion = reader.number();
    message.m_isAwaitingOutcome = reader.flag();
    message.m_highestVotedId = readChangeId(reader);
    return message;
}

GateMessage readStageMap(MessageReader &reader)
{
    StageMap message;
    message.m_id = readChangeId(reader);
    message.m_encodedMap = reader.text();
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

GateMessage readVoteRequest(MessageReader &reader)
{
    return VoteRequest{readMapChange(reader)};
}

GateMessage readSwitchVote(MessageReader &reader)
{
    SwitchVote message;
    message.m_id = readChangeId(reader);
    message.m_rank = readRank(reader);
    message.m_isPromised = reader.flag();
    return message;
}

GateMessage readSwitchOutcome(MessageReader &reader)
{
    SwitchOutcome message;
    message.m_id = readChangeId(reader);
    message.m_isLive = reader.flag();
    return message;
}

using BodyReader = GateMessage (*)(MessageReader &);

// In the order of the variant's alternatives, whose index precedes the body.
constexpr std::array<BodyReader, std::variant_size_v<GateMessage>> bodyReaders = {
    readRankStateRequest, readRankState,   readStageMap,   readMapStaged,
    readPrepareSwitch,    readVoteRequest, readSwitchVote, readSwitchOutcome,
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
