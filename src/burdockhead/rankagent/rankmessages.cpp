#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/rankagent/rankmessages.h>

#include <cmath>

namespace burdockhead {

namespace {

constexpr std::size_t maxNumbers = 65536;
constexpr std::size_t maxLayers = 1024;
constexpr double slownessUnit = 1000; // Encoded in thousandths.

void writeOptional(MessageWriter &writer, const std::optional<std::uint64_t> &value)
{
    writer.flag(value.has_value()).number(value.value_or(0));
}

std::optional<std::uint64_t> readOptional(MessageReader &reader)
{
    const bool isGiven = reader.flag();
    const std::uint64_t value = reader.number();
    return isGiven ? std::optional(value) : std::nullopt;
}

void writeSnapshot(MessageWriter &writer, const RankSnapshot &snapshot)
{
    writer.text(snapshot.m_group)
        .number(snapshot.m_epoch)
        .number(snapshot.m_rank)
        .number(snapshot.m_rankCount)
        .flag(snapshot.m_isGroupRunning)
        .number(snapshot.m_startedAt)
        .number(snapshot.m_step)
        .number(snapshot.m_mapVersion);
    writeOptional(writer, snapshot.m_preparedVersion);
    writer.flag(snapshot.m_armed.has_value());
    const ArmedMap armed = snapshot.m_armed.value_or(ArmedMap());
    writer.number(armed.m_version).number(armed.m_step);
    writeOptional(writer, snapshot.m_heldStep);
    writer.number(static_cast<std::uint64_t>(std::lround(snapshot.m_slowness * slownessUnit)));
    writeOptional(writer, snapshot.m_sequence);
}

RankSnapshot readSnapshot(MessageReader &reader)
{
    RankSnapshot snapshot;
    snapshot.m_group = reader.text();
    snapshot.m_epoch = reader.number();
    snapshot.m_rank = static_cast<std::uint32_t>(reader.number());
    snapshot.m_rankCount = static_cast<std::uint32_t>(reader.number());
    snapshot.m_isGroupRunning = reader.flag();
    snapshot.m_startedAt = reader.number();
    snapshot.m_step = reader.number();
    snapshot.m_mapVersion = reader.number();
    snapshot.m_preparedVersion = readOptional(reader);
    const bool isArmed = reader.flag();
    const std::uint64_t version = reader.number();
    const std::uint64_t step = reader.number();
    if (isArmed)
        snapshot.m_armed = ArmedMap{version, step};
    snapshot.m_heldStep = readOptional(reader);
    snapshot.m_slowness = static_cast<double>(reader.number()) / slownessUnit;
    snapshot.m_sequence = readOptional(reader);
    return snapshot;
}

} // namespace

std::string writeRankStatus(const RankStatus &status)
{
    MessageWriter writer;
    writeSnapshot(writer, status.m_snapshot);
    writer.number(status.m_counts.m_epoch).number(status.m_counts.m_counts.size());
    for (const std::uint64_t count : status.m_counts.m_counts)
        writer.number(count);
    writer.number(status.m_experts.m_version).number(status.m_experts.m_layers.size());
    for (const auto &layer : status.m_experts.m_layers) {
        writer.number(layer.size());
        for (const std::uint32_t expert : layer)
            writer.number(expert);
    }
    writer.number(static_cast<std::uint64_t>(status.m_sinceRank0Poll.count()));
    return writer.take();
}

std::optional<RankStatus> readRankStatus(std::string_view message)
{
    MessageReader reader(message);
    RankStatus status;
    status.m_snapshot = readSnapshot(reader);
    status.m_counts.m_epoch = reader.number();
    status.m_counts.m_counts.resize(reader.listLength(maxNumbers));
    for (std::uint64_t &count : status.m_counts.m_counts)
        count = reader.number();
    status.m_experts.m_version = reader.number();
    status.m_experts.m_layers.resize(reader.listLength(maxLayers));
    for (auto &layer : status.m_experts.m_layers) {
        layer.resize(reader.listLength(maxNumbers));
        for (std::uint32_t &expert : layer)
            expert = static_cast<std::uint32_t>(reader.number());
    }
    status.m_sinceRank0Poll = Milliseconds(static_cast<std::int64_t>(reader.number()));
    if (!reader.complete())
        return std::nullopt;
    return status;
}

std::string writeRankOrder(const RankOrderMessage &message)
{
    MessageWriter writer;
    const RankOrder &order = message.m_order;
    writer.number(order.m_rank)
        .number(static_cast<std::uint64_t>(order.m_type))
        .number(order.m_epoch)
        .number(order.m_version)
        .number(order.m_step);
    writeOptional(writer, order.m_expectedSequence);
    writer.number(message.m_rankCount)
        .text(message.m_map ? message.m_map->encode() : std::string())
        .number(message.m_forwardTo.size());
    for (const ForwardTarget &recipient : message.m_forwardTo)
        writer.number(recipient.m_rank).text(recipient.m_agent.toString());
    return writer.take();
}

std::optional<RankOrderMessage> readRankOrder(std::string_view bytes)
{
    MessageReader reader(bytes);
    RankOrderMessage message;
    message.m_order.m_rank = static_cast<std::uint32_t>(reader.number());
    const std::uint64_t type = reader.number();
    if (type > static_cast<std::uint64_t>(RankOrderType::Resume))
        reader.fail();
    message.m_order.m_type = static_cast<RankOrderType>(type);
    message.m_order.m_epoch = reader.number();
    message.m_order.m_version = reader.number();
    message.m_order.m_step = reader.number();
    message.m_order.m_expectedSequence = readOptional(reader);
    message.m_rankCount = static_cast<std::uint32_t>(reader.number());
    const std::string map = reader.text();
    if (!map.empty()) {
        message.m_map = ExpertMap::decode(map);
        if (!message.m_map)
            reader.fail();
    }
    message.m_forwardTo.resize(reader.listLength(maxNumbers));
    for (ForwardTarget &recipient : message.m_forwardTo) {
        recipient.m_rank = static_cast<std::uint32_t>(reader.number());
        const auto agent = SocketAddress::parse(reader.text());
        if (!agent)
            reader.fail();
        recipient.m_agent = agent.value_or(SocketAddress());
    }
    if (!reader.complete())
        return std::nullopt;
    return message;
}

} // namespace burdockhead
