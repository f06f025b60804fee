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

// Whether a member answers, as its peers see it.
enum class MemberHealth {
    Alive,
    Suspect, // A call to it failed; it may still refute that.
    Dead,    // It did not refute in time, or it stopped.
};

// What is known of one member. Only the member itself raises its revision, to change its
// record or to refute a suspicion.
struct MemberRecord
{
    ProcessName m_name;
    VmRole m_role = VmRole::Entry;
    DataCentreName m_dataCentre;
    SocketAddress m_controlAddress;
    SocketAddress m_serviceAddress; // An entry's address for callers, an agent's link.
    EndpointName m_endpoint;        // Agents only.
    SocketAddress m_operatorAddress;
    Incarnation m_incarnation;
    std::uint64_t m_revision = 0;
    bool m_isLeaving = false;
    MemberHealth m_health = MemberHealth::Alive;

    // True when this record is newer than another of the same member.
    bool supersedes(const MemberRecord &other) const;

    // The member's state as other parts see it.
    ReplicaState state() const;

    // The record as entries and agents are announced.
    EntryInfo toEntryInfo() const;
    ReplicaAnnouncement toAnnouncement() const;

    // A hash over all fields, for comparing tables.
    std::uint64_t hash() const;

    friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

void writeMemberRecord(MessageWriter &writer, const MemberRecord &record);

// Writes only what tells whether the receiver has the record already.
void writeBriefRecord(MessageWriter &writer, const MemberRecord &record);
MemberRecord readBriefRecord(MessageReader &reader);

// Reads a record; turns the reader bad when a field is out of range.
MemberRecord readMemberRecord(MessageReader &reader);

} // namespace burdockhead
