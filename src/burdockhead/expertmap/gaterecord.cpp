#include <burdockhead/expertmap/gatecodec.h>
#include <burdockhead/expertmap/gaterecord.h>

namespace burdockhead {

std::string GateRecord::encode() const
{
    MessageWriter writer;
    writer.number(m_sequence);
    writeChangeId(writer, m_highest);
    writeMapChange(writer, m_live);
    writer.flag(m_promise.has_value());
    if (m_promise)
        writeMapChange(writer, *m_promise);
    return writer.take();
}

std::optional<GateRecord> GateRecord::decode(std::string_view bytes)
{
    GateRecord record;
    if (bytes.empty())
        return record;
    MessageReader reader(bytes);
    record.m_sequence = reader.number();
    record.m_highest = readChangeId(reader);
    record.m_live = readMapChange(reader);
    if (reader.flag())
        record.m_promise = readMapChange(reader);
    if (!reader.complete())
        return std::nullopt;
    return record;
}

} // namespace burdockhead
