#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/rankagent/rankmessages.h>

#include <cmath>

namespace burdockhead {

namespace {

constexpr std::size_t maxNumbers = 65536;
constexpr std::size_t maxLayers = 1024;
constexpr double slownessUnit = 1000; // Written in thousandths.

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

void writeView(MessageWriter &writer, const RankView &view)
{
    writer.text(view.m_group)
        .number(view.m_epoch)
        .number(view.m_rank)
        .number(view.m_ranks)
        .flag(view.m_isOpen)
        .number(view.m_startedAt)
        .number(view.m_step)
        .number(view.m_map);
    writeOptional(writer, view.m_prepared);
    writer.flag(view.m_armed.has_value());
    const ArmedMap armed = view.m_armed.value_or(ArmedMap());
    writer.number(armed.m_version).number(armed.m_step);
    writeOptional(writer, view.m_held);
    writer.number(static_cast<std::uint64_t>(std::lround(view.m_slowness * slownessUnit)));
}

RankView readView(MessageReader &reader)
{
    RankView view;
    view.m_group = reader.text();
    view.m_epoch = reader.number();
    view.m_rank = static_cast<std::uint32_t>(reader.number());
    view.m_ranks = static_cast<std::uint32_t>(reader.number());
    view.m_isOpen = reader.flag();
    view.m_startedAt = reader.number();
    view.m_step = reader.number();
    view.m_map = reader.number();
    view.m_prepared = readOptional(reader);
    const bool isArmed = reader.flag();
    const std::uint64_t version = reader.number();
    const std::uint64_t step = reader.number();
    if (isArmed)
        view.m_armed = ArmedMap{version, step};
    view.m_held = readOptional(reader);
    view.m_slowness = static_cast<double>(reader.number()) / slownessUnit;
    return view;
}

} // namespace

std::string writeRankStatus(const RankStatus &status)
{
    MessageWriter writer;
    writeView(writer, status.m_view);
    writer.number(status.m_counts.m_epoch).number(status.m_counts.m_counts.size());
    for (const std::uint64_t count : status.m_counts.m_counts)
        writer.number(count);
    writer.number(status.m_experts.m_version).number(status.m_experts.m_layers.size());
    for (const auto &layer : status.m_experts.m_layers) {
        writer.number(layer.size());
        for (const std::uint32_t expert : layer)
            writer.number(expert);
    }
    writer.number(static_cast<std::uint64_t>(status.m_sinceFirstAsked.count()));
    return writer.take();
}

std::optional<RankStatus> readRankStatus(std::string_view message)
{
    MessageReader reader(message);
    RankStatus status;
    status.m_view = readView(reader);
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
    status.m_sinceFirstAsked = Milliseconds(static_cast<std::int64_t>(reader.number()));
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
        .number(order.m_step)
        .number(message.m_ranks)
        .text(message.m_map ? message.m_map->encode() : std::string())
        .number(message.m_forwardTo.size());
    for (const ForwardedRank &rank : message.m_forwardTo)
        writer.number(rank.m_rank).text(rank.m_agent.toString());
    return writer.take();
}

std::optional<RankOrderMessage> readRankOrder(std::string_view bytes)
{
    MessageReader reader(bytes);
    RankOrderMessage message;
    message.m_order.m_rank = static_cast<std::uint32_t>(reader.number());
    const std::uint64_t type = reader.number();
    if (type > static_cast<std::uint64_t>(RankOrderType::Go))
        reader.fail();
    message.m_order.m_type = static_cast<RankOrderType>(type);
    message.m_order.m_epoch = reader.number();
    message.m_order.m_version = reader.number();
    message.m_order.m_step = reader.number();
    message.m_ranks = static_cast<std::uint32_t>(reader.number());
    const std::string map = reader.text();
    if (!map.empty()) {
        message.m_map = ExpertMap::decode(map);
        if (!message.m_map)
            reader.fail();
    }
    message.m_forwardTo.resize(reader.listLength(maxNumbers));
    for (ForwardedRank &rank : message.m_forwardTo) {
        rank.m_rank = static_cast<std::uint32_t>(reader.number());
        const auto agent = SocketAddress::parse(reader.text());
        if (!agent)
            reader.fail();
        rank.m_agent = agent.value_or(SocketAddress());
    }
    if (!reader.complete())
        return std::nullopt;
    return message;
}

} // namespace burdockhead
