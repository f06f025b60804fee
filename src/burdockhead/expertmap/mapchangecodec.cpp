#include <burdockhead/expertmap/mapchangecodec.h>

namespace burdockhead {

void writeChangeId(MessageWriter &writer, const ChangeId &id)
{
    writer.number(id.m_fence).number(id.m_attempt);
}

ChangeId readChangeId(MessageReader &reader)
{
    ChangeId id;
    id.m_fence = reader.number();
    id.m_attempt = reader.number();
    return id;
}

void writeMapChange(MessageWriter &writer, const MapChange &change)
{
    writeChangeId(writer, change.m_id);
    writer.number(change.m_baseVersion).number(change.m_version).number(change.m_firstStep);
}

MapChange readMapChange(MessageReader &reader)
{
    MapChange change;
    change.m_id = readChangeId(reader);
    change.m_baseVersion = reader.number();
    change.m_version = reader.number();
    change.m_firstStep = reader.number();
    return change;
}

} // namespace burdockhead
