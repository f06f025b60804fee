#include <burdockhead/expertmap/mapchangecodec.h>
#include <burdockhead/expertmap/voterecord.h>

namespace burdockhead {

std::string VoteRecord::encode() const
{
    MessageWriter writer;
    writer.number(m_sequence);
    writeChangeId(writer, m_highestVotedId);
    writeMapChange(writer, m_committedChange);
    writer.flag(m_promisedChange.has_value());
    if (m_promisedChange)
        writeMapChange(writer, *m_promisedChange);
    return writer.take();
}

std::optional<VoteRecord> VoteRecord::decode(std::string_view bytes)
{
    VoteRecord record;
    if (bytes.empty())
        return record;
    MessageReader reader(bytes);
    record.m_sequence = reader.number();
    record.m_highestVotedId = readChangeId(reader);
    record.m_committedChange = readMapChange(reader);
    if (reader.flag())
        record.m_promisedChange = readMapChange(reader);
    if (!reader.complete())
        return std::nullopt;
    return record;
}

} // namespace burdockhead
