#include <burdockhead/membership/exchange.h>

namespace burdockhead {

namespace {

constexpr std::size_t mostRecords = 20000;

void writeRecords(MessageWriter &writer, const std::vector<MemberRecord> &records)
{
    writer.number(records.size());
    for (const MemberRecord &record : records)
        writeMemberRecord(writer, record);
}

std::vector<MemberRecord> readRecords(MessageReader &reader)
{
    std::vector<MemberRecord> records;
    const std::size_t length = reader.listLength(mostRecords);
    for (std::size_t index = 0; index < length && reader.ok(); ++index)
        records.push_back(readMemberRecord(reader));
    return records;
}

void writeSender(MessageWriter &writer, bool brief, const MemberRecord &record)
{
    writer.flag(brief);
    if (brief)
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
    writeSender(writer, request.m_brief, request.m_sender);
    writer.number(request.m_peerIncarnation).number(request.m_peerRevision);
    writeRecords(writer, request.m_rumours);
    writer.number(request.m_heldVersion).number(request.m_tableHash);
    writer.number(request.m_entriesHash);
    return writer.take();
}

std::optional<ExchangeRequest> decodeExchangeRequest(const std::string &bytes)
{
    MessageReader reader(bytes);
    ExchangeRequest request;
    request.m_brief = reader.flag();
    request.m_sender = request.m_brief ? readBriefRecord(reader) : readMemberRecord(reader);
    request.m_peerIncarnation = reader.number();
    request.m_peerRevision = reader.number();
    request.m_rumours = readRecords(reader);
    request.m_heldVersion = reader.number();
    request.m_tableHash = reader.number();
    request.m_entriesHash = reader.number();
    return ifComplete(reader, std::move(request));
}

std::string encode(const ExchangeResponse &response)
{
    MessageWriter writer;
    writer.flag(response.m_wantsRecord);
    writeSender(writer, response.m_brief, response.m_sender);
    writeRecords(writer, response.m_rumours);
    writer.number(response.m_heldVersion).flag(response.m_ready).flag(response.m_lapsed);
    writer.flag(response.m_hasClaim).number(response.m_claimVersion);
    writer.number(response.m_claimAgeMicroseconds);
    writeTransfer(writer, response.m_configuration);
    writer.number(response.m_bucketHashes.size());
    for (const std::uint32_t hash : response.m_bucketHashes)
        writer.number(hash);
    writer.flag(response.m_hasEntries);
    writeRecords(writer, response.m_entries);
    return writer.take();
}

std::optional<ExchangeResponse> decodeExchangeResponse(const std::string &bytes)
{
    MessageReader reader(bytes);
    ExchangeResponse response;
    response.m_wantsRecord = reader.flag();
    response.m_brief = reader.flag();
    response.m_sender = response.m_brief ? readBriefRecord(reader) : readMemberRecord(reader);
    response.m_rumours = readRecords(reader);
    response.m_heldVersion = reader.number();
    response.m_ready = reader.flag();
    response.m_lapsed = reader.flag();
    response.m_hasClaim = reader.flag();
    response.m_claimVersion = reader.number();
    response.m_claimAgeMicroseconds = reader.number();
    response.m_configuration = readTransfer(reader);
    const std::size_t hashes = reader.listLength(MembershipTable::bucketCount);
    for (std::size_t index = 0; index < hashes; ++index)
        response.m_bucketHashes.push_back(static_cast<std::uint32_t>(reader.number()));
    response.m_hasEntries = reader.flag();
    response.m_entries = readRecords(reader);
    return ifComplete(reader, std::move(response));
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
    const std::size_t buckets = reader.listLength(MembershipTable::bucketCount);
    for (std::size_t index = 0; index < buckets; ++index) {
        message.m_buckets.push_back(reader.number());
        if (message.m_buckets.back() >= MembershipTable::bucketCount)
            reader.fail();
    }
    message.m_records = readRecords(reader);
    return ifComplete(reader, std::move(message));
}

} // namespace burdockhead
