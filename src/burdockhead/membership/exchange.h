#pragma once

#include <burdockhead/configuration/textpatch.h>
#include <burdockhead/membership/membershiptable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// Types of the control messages that membership itself handles.
enum class ControlMessageType : std::uint64_t {
    Exchange = 1, // Heartbeat, failure probe and gossip in one message.
    Sync = 2,     // Complete buckets of the membership table.
};

// A configuration sent to a peer, either complete or as a patch to a version that the peer
// holds.
struct ConfigurationTransfer
{
    std::uint64_t m_version = 0;
    std::uint64_t m_baseVersion = 0; // 0: m_patch.m_middle is the complete text.
    TextPatch m_patch;

    friend bool operator==(const ConfigurationTransfer &, const ConfigurationTransfer &) = default;
};

// Request of an exchange: the sender's state and the state it knows of the peer.
struct ExchangeRequest
{
    bool m_isBrief = false; // m_sender holds only the fields that identify its revision.
    MemberRecord m_sender;
    std::uint64_t m_peerIncarnation = 0; // Of the peer's record known to the sender.
    std::uint64_t m_peerRevision = 0;
    std::vector<MemberRecord> m_gossip;
    std::uint64_t m_heldVersion = 0;
    std::uint64_t m_tableHash = 0;   // Of the sender's table; 0 if it is an agent.
    std::uint64_t m_entriesHash = 0; // Of an agent's known entries; 0 from an entry.

    friend bool operator==(const ExchangeRequest &, const ExchangeRequest &) = default;
};

// Reply of an exchange.
struct ExchangeReply
{
    bool m_needsFullRecord = false; // The brief record of the request is unknown here.
    bool m_isBrief = false;
    MemberRecord m_sender;
    std::vector<MemberRecord> m_gossip;
    std::uint64_t m_heldVersion = 0;
    bool m_isReady = false;            // The held version is in force in the replying process.
    bool m_isNonAuthoritative = false; // Not current, or not evidence for its data centre.
    bool m_hasClaim = false;
    std::uint64_t m_claimVersion = 0;
    std::uint64_t m_claimAgeMicroseconds = 0; // At the time of the reply.
    std::optional<ConfigurationTransfer> m_configuration;
    std::vector<std::uint32_t> m_bucketHashes; // Empty if the tables are equal.
    bool m_hasEntries = false;
    std::vector<MemberRecord> m_entries; // For an agent that knows other entries.

    friend bool operator==(const ExchangeReply &, const ExchangeReply &) = default;
};

// Records of the listed buckets; request and reply of a table synchronization.
struct SyncMessage
{
    std::vector<std::uint64_t> m_buckets;
    std::vector<MemberRecord> m_records;

    friend bool operator==(const SyncMessage &, const SyncMessage &) = default;
};

// Encode and decode messages; decoding returns none if the bytes are malformed.
std::string encode(const ExchangeRequest &request);
std::string encode(const ExchangeReply &reply);
std::string encode(const SyncMessage &message);
std::optional<ExchangeRequest> decodeExchangeRequest(const std::string &bytes);
std::optional<ExchangeReply> decodeExchangeReply(const std::string &bytes);
std::optional<SyncMessage> decodeSyncMessage(const std::string &bytes);

} // namespace burdockhead
