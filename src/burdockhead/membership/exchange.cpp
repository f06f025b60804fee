#include <burdockhead/membership/exchange.h>

namespace burdockhead {

namespace {

constexpr std::size_t maxRecordCount = 20000;

void writeRecords(MessageWriter &writer, const std::vector<MemberRecord> &records)
{
    writer.number(records.size());
    for (const MemberRecord &record : records)
        writeMemberRecord(writer, record);
}

std::vector<MemberRecord> readRecords(MessageReader &reader)
{
    std::vector<MemberRecord> records;
    const std::size_t recordCount = reader.listLength(maxRecordCount);
    for (std::size_t index = 0; index < recordCount && reader.ok(); ++index)
        records.push_back(readMemberRecord(reader));
    return records;
}

void writeSender(MessageWriter &writer, bool isBrief, const MemberRecord &record)
{
    writer.flag(isBrief);
    if (isBrief)
        writeBriefRecord(writer, record);
    else
        writeMemberRecord(writer, record);
}

void writeTransfer(MessageWriter &writer, const std::optional<ConfigurationTransfer> &transfer)
{
    writer.flag(transfer.has_value());
    if (!transfer)
        return;
    writer.number(transfer->m_version).number(transfer->m_baseVersion);
    writer.number(transfer->m_patch.m_prefix).number(transfer->m_patch.m_suffix);
    writer.text(transfer->m_patch.m_middle).number(transfer->m_patch.m_hash);
}

std::optional<ConfigurationTransfer> readTransfer(MessageReader &reader)
{
    if (!reader.flag())
        return std::nullopt;
    ConfigurationTransfer transfer;
    transfer.m_version = reader.number();
    transfer.m_baseVersion = reader.number();
    transfer.m_patch.m_prefix = reader.number();
    transfer.m_patch.m_suffix = reader.number();
    transfer.m_patch.m_middle = reader.text();
    transfer.m_patch.m_hash = reader.number();
    return transfer;
}

template <typename Message>
std::optional<Message> ifComplete(const MessageReader &reader, Message message)
{
    if (!reader.complete())
        return std::nullopt;
    return message;
}

} // namespace

std::string encode(const ExchangeRequest &request)
{
    MessageWriter writer;
    writeSender(writer, request.m_isBrief, request.m_sender);
    writer.number(request.m_peerIncarnation).number(request.m_peerRevision);
    writeRecords(writer, request.m_gossip);
    writer.number(request.m_heldVersion).number(request.m_tableHash);
    writer.number(request.m_entriesHash);
    return writer.take();
}

std::optional<ExchangeRequest> decodeExchangeRequest(const std::string &bytes)
{
    MessageReader reader(bytes);
    ExchangeRequest request;
    request.m_isBrief = reader.flag();
    request.m_sender = request.m_isBrief ? readBriefRecord(reader) : readMemberRecord(reader);
    request.m_peerIncarnation = reader.number();
    request.m_peerRevision = reader.number();
    request.m_gossip = readRecords(reader);
    request.m_heldVersion = reader.number();
    request.m_tableHash = reader.number();
    request.m_entriesHash = reader.number();
    return ifComplete(reader, std::move(request));
}

std::string encode(const ExchangeReply &reply)
{
    MessageWriter writer;
    writer.flag(reply.m_needsFullRecord);
    writeSender(writer, reply.m_isBrief, reply.m_sender);
    writeRecords(writer, reply.m_gossip);
    writer.number(reply.m_heldVersion).flag(reply.m_isReady).flag(reply.m_isNonAuthoritative);
    writer.flag(reply.m_hasClaim).number(reply.m_claimVersion);
    writer.number(reply.m_claimAgeMicroseconds);
    writeTransfer(writer, reply.m_configuration);
    writer.number(reply.m_bucketHashes.size());
    for (const std::uint32_t hash : reply.m_bucketHashes)
        writer.number(hash);
    writer.flag(reply.m_hasEntries);
    writeRecords(writer, reply.m_entries);
    return writer.take();
}

std::optional<ExchangeReply> decodeExchangeReply(const std::string &bytes)
{
    MessageReader reader(bytes);
    ExchangeReply reply;
    reply.m_needsFullRecord = reader.flag();
    reply.m_isBrief = reader.flag();
    reply.m_sender = reply.m_isBrief ? readBriefRecord(reader) : readMemberRecord(reader);
    reply.m_gossip = readRecords(reader);
    reply.m_heldVersion = reader.number();
    reply.m_isReady = reader.flag();
    reply.m_isNonAuthoritative = reader.flag();
    reply.m_hasClaim = reader.flag();
    reply.m_claimVersion = reader.number();
    reply.m_claimAgeMicroseconds = reader.number();
    reply.m_configuration = readTransfer(reader);
    const std::size_t hashCount = reader.listLength(MembershipTable::bucketCount);
    for (std::size_t index = 0; index < hashCount; ++index)
        reply.m_bucketHashes.push_back(static_cast<std::uint32_t>(reader.number()));
    reply.m_hasEntries = reader.flag();
    reply.m_entries = readRecords(reader);
    return ifComplete(reader, std::move(reply));
}

std::string encode(const SyncMessage &message)
{
    MessageWriter writer;
    writer.number(message.m_buckets.size());
    for (const std::uint64_t bucket : message.m_buckets)
        writer.number(bucket);
    writeRecords(writer, message.m_records);
    return writer.take();
}

std::optional<SyncMessage> decodeSyncMessage(const std::string &bytes)
{
    MessageReader reader(bytes);
    SyncMessage message;
    const std::size_t bucketIndexCount = reader.listLength(MembershipTable::bucketCount);
    for (std::size_t index = 0; index < bucketIndexCount; ++index) {
        message.m_buckets.push_back(reader.number());
        if (message.m_buckets.back() >= MembershipTable::bucketCount)
            reader.fail();
    }
    message.m_records = readRecords(reader);
    return ifComplete(reader, std::move(message));
}

} // namespace burdockhead
