#include <burdockhead/expertmap/mapchangecodec.h>
#include <burdockhead/expertmap/mapchangemessage.h>

#include <array>

namespace burdockhead {

namespace {

void writeBody(MessageWriter &, const RankStateRequest &)
{}

void writeBody(MessageWriter &writer, const RankState &message)
{
    writer.number(message.m_rank).number(message.m_nextStep).number(message.m_committedVersion);
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
    writer.flag(message.m_isCommitted);
}

std::uint32_t readRank(MessageReader &reader)
{
    return static_cast<std::uint32_t>(reader.number());
}

MapChangeMessage readRankStateRequest(MessageReader &)
{
    return RankStateRequest();
}

MapChangeMessage readRankState(MessageReader &reader)
{
    RankState message;
    message.m_rank = readRank(reader);
    message.m_nextStep = reader.number();
    message.m_committedVersion = reader.number();
    message.m_isAwaitingOutcome = reader.flag();
    message.m_highestVotedId = readChangeId(reader);
    return message;
}

MapChangeMessage readStageMap(MessageReader &reader)
{
    StageMap message;
    message.m_id = readChangeId(reader);
    message.m_encodedMap = reader.text();
    return message;
}

MapChangeMessage readMapStaged(MessageReader &reader)
{
    MapStaged message;
    message.m_id = readChangeId(reader);
    message.m_rank = readRank(reader);
    return message;
}

MapChangeMessage readPrepareSwitch(MessageReader &reader)
{
    return PrepareSwitch{readMapChange(reader)};
}

MapChangeMessage readVoteRequest(MessageReader &reader)
{
    return VoteRequest{readMapChange(reader)};
}

MapChangeMessage readSwitchVote(MessageReader &reader)
{
    SwitchVote message;
    message.m_id = readChangeId(reader);
    message.m_rank = readRank(reader);
    message.m_isPromised = reader.flag();
    return message;
}

MapChangeMessage readSwitchOutcome(MessageReader &reader)
{
    SwitchOutcome message;
    message.m_id = readChangeId(reader);
    message.m_isCommitted = reader.flag();
    return message;
}

using BodyReader = MapChangeMessage (*)(MessageReader &);

// In the order of the variant's alternatives, whose index precedes the body.
constexpr std::array<BodyReader, std::variant_size_v<MapChangeMessage>> bodyReaders = {
    readRankStateRequest, readRankState,   readStageMap,   readMapStaged,
    readPrepareSwitch,    readVoteRequest, readSwitchVote, readSwitchOutcome,
};

} // namespace

std::string encodeMapChangeMessage(const MapChangeMessage &message)
{
    MessageWriter writer;
    writer.number(message.index());
    std::visit([&writer](const auto &body) { writeBody(writer, body); }, message);
    return writer.take();
}

std::optional<MapChangeMessage> decodeMapChangeMessage(std::string_view bytes)
{
    MessageReader reader(bytes);
    const std::uint64_t index = reader.number();
    if (!reader.ok() || index >= bodyReaders.size())
        return std::nullopt;
    MapChangeMessage message = bodyReaders[index](reader);
    if (!reader.complete())
        return std::nullopt;
    return message;
}

} // namespace burdockhead
