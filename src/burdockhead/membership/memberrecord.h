#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/base/name.h>
#include <burdockhead/base/socketaddress.h>
#include <burdockhead/codec/messagereader.h>
#include <burdockhead/codec/messagewriter.h>
#include <burdockhead/membership/entryinfo.h>
#include <burdockhead/platform/vm.h>
#include <burdockhead/routing/replicaannouncement.h>

#include <cstdint>

namespace burdockhead {

// Liveness of a member as seen by its peers.
enum class MemberHealth {
    Alive,
    Suspect, // A call to it failed; it can still refute the suspicion.
    Dead,    // It did not refute the suspicion in time.
};

// The gossiped state of one member. Only the member itself increments its revision, to change
// its record or to refute a suspicion.
struct MemberRecord
{
    ProcessName m_name;
    VmRole m_role = VmRole::Entry;
    DataCentreName m_dataCentre;
    SocketAddress m_controlAddress;
    SocketAddress
        m_serviceAddress;    // An entry's address for callers, an agent's address for entries.
    EndpointName m_endpoint; // Agents only.
    SocketAddress m_operatorAddress;
    Incarnation m_incarnation;
    std::uint64_t m_revision = 0;
    bool m_isLeaving = false;
    MemberHealth m_health = MemberHealth::Alive;

    // Returns true if this record is newer than another record of the same member.
    bool supersedes(const MemberRecord &other) const;

    // Returns the member's state, derived from its health and whether it is leaving.
    ReplicaState state() const;

    // Convert the record of an entry and of an agent respectively.
    EntryInfo toEntryInfo() const;
    ReplicaAnnouncement toAnnouncement() const;

    // Returns a hash over all fields, for comparing tables.
    std::uint64_t hash() const;

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

void writeMemberRecord(MessageWriter &writer, const MemberRecord &record);

// Writes and reads only the fields by which the receiver finds the record in its table.
void writeBriefRecord(MessageWriter &writer, const MemberRecord &record);
MemberRecord readBriefRecord(MessageReader &reader);

// Reads a record; marks the reader as failed if a field is out of range.
MemberRecord readMemberRecord(MessageReader &reader);

} // namespace burdockhead
