#pragma once

#include <burdockhead/configuration/textpatch.h>
#include <burdockhead/membership/membershiptable.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhead {

// Types of the service's own control messages.
enum class ControlType : std::uint64_t {
    Exchange = 1, // Heartbeat, probe and gossip in one.
    Sync = 2,     // Whole buckets of the table.
};

// A configuration on its way to a peer: whole, or as a patch to one that the peer holds.
struct ConfigurationTransfer
{
    std::uint64_t m_version = 0;
    std::uint64_t m_baseVersion = 0; // 0: m_patch.m_middle is the whole text.
    TextPatch m_patch;

    friend bool operator==(const ConfigurationTransfer &, const ConfigurationTransfer &) = default;
};

// What a process asks a peer, and tells of itself.
struct ExchangeRequest
{
    bool m_brief = false; // Of the sender's record only what names its revision is given.
    MemberRecord m_sender;
    std::uint64_t m_peerIncarnation = 0; // The peer's record that the sender has.
    std::uint64_t m_peerRevision = 0;
    std::vector<MemberRecord> m_rumours;
    std::uint64_t m_heldVersion = 0;
    std::uint64_t m_tableHash = 0;   // Of an entry's table; 0 from an agent.
    std::uint64_t m_entriesHash = 0; // Of the entries that an agent knows; 0 from an entry.

    friend bool operator==(const ExchangeRequest &, const ExchangeRequest &) = default;
};

// What the peer answers.
struct ExchangeResponse
{
    bool m_wantsRecord = false; // The brief record was not enough.
    bool m_brief = false;
    MemberRecord m_sender;
    std::vector<MemberRecord> m_rumours;
    std::uint64_t m_heldVersion = 0;
    bool m_ready = false;  // The held version is in force there.
    bool m_lapsed = false; // It can't vouch for its data centre.
    bool m_hasClaim = false;
    std::uint64_t m_claimVersion = 0;
    std::uint64_t m_claimAgeMicroseconds = 0; // When the answer was made.
    std::optional<ConfigurationTransfer> m_configuration;
    std::vector<std::uint32_t> m_bucketHashes; // If the tables differ; else empty.
    bool m_hasEntries = false;
    std::vector<MemberRecord> m_entries; // For an agent whose entries differ.

    friend bool operator==(const ExchangeResponse &, const ExchangeResponse &) = default;
};

// Records of some buckets, as question and as answer.
struct SyncMessage
{
    std::vector<std::uint64_t> m_buckets;
    std::vector<MemberRecord> m_records;

    friend bool operator==(const SyncMessage &, const SyncMessage &) = default;
};

// Writing and reading; none when the bytes are not such a message.
std::string encode(const ExchangeRequest &request);
std::string encode(const ExchangeResponse &response);
std::string encode(const SyncMessage &message);
std::optional<ExchangeRequest> decodeExchangeRequest(const std::string &bytes);
std::optional<ExchangeResponse> decodeExchangeResponse(const std::string &bytes);
std::optional<SyncMessage> decodeSyncMessage(const std::string &bytes);

} // namespace burdockhead
