#include <burdockhead/membership/memberrecord.h>

#include <tuple>
#include <xxhash.h>

namespace burdockhead {

namespace {

void writeAddress(MessageWriter &writer, const SocketAddress &address)
{
    writer.text(address.m_host).number(address.m_port);
}

SocketAddress readAddress(MessageReader &reader)
{
    SocketAddress address;
    address.m_host = reader.text();
    const std::uint64_t port = reader.number();
    if (port > UINT16_MAX)
        reader.fail();
    address.m_port = static_cast<std::uint16_t>(port);
    return address;
}

} // namespace

bool MemberRecord::supersedes(const MemberRecord &other) const
{
    return std::tie(m_incarnation.m_value, m_revision, m_health)
           > std::tie(other.m_incarnation.m_value, other.m_revision, other.m_health);
}

ReplicaState MemberRecord::state() const
{
    if (m_health == MemberHealth::Dead)
        return ReplicaState::Dead;
    if (m_isLeaving)
        return ReplicaState::Leaving;
    return m_health == MemberHealth::Suspect ? ReplicaState::Suspect : ReplicaState::Alive;
}

EntryInfo MemberRecord::toEntryInfo() const
{
    return {m_name, m_dataCentre, m_controlAddress, m_serviceAddress, m_incarnation, state()};
}

ReplicaAnnouncement MemberRecord::toAnnouncement() const
{
    return {m_endpoint, m_dataCentre, m_serviceAddress, m_incarnation, state()};
}

std::uint64_t MemberRecord::hash() const
{
    MessageWriter writer;
    writeMemberRecord(writer, *this);
    const std::string bytes = writer.take();
    return XXH64(bytes.data(), bytes.size(), 0);
}

void writeMemberRecord(MessageWriter &writer, const MemberRecord &record)
{
    writer.text(record.m_name.text()).number(record.m_role == VmRole::Entry ? 0 : 1);
    writer.text(record.m_dataCentre.text());
    writeAddress(writer, record.m_controlAddress);
    writeAddress(writer, record.m_serviceAddress);
    writeAddress(writer, record.m_operatorAddress);
    writer.text(record.m_endpoint.text()).number(record.m_incarnation.m_value);
    writer.number(record.m_revision).flag(record.m_isLeaving);
    writer.number(static_cast<std::uint64_t>(record.m_health));
}

void writeBriefRecord(MessageWriter &writer, const MemberRecord &record)
{
    writer.text(record.m_name.text()).flag(record.m_role == VmRole::Entry);
    writer.number(record.m_incarnation.m_value).number(record.m_revision);
}

MemberRecord readBriefRecord(MessageReader &reader)
{
    MemberRecord record;
    record.m_name = ProcessName(reader.text());
    record.m_role = reader.flag() ? VmRole::Entry : VmRole::Endpoint;
    record.m_incarnation = Incarnation{reader.number()};
    record.m_revision = reader.number();
    return record;
}

MemberRecord readMemberRecord(MessageReader &reader)
{
    MemberRecord record;
    record.m_name = ProcessName(reader.text());
    record.m_role = reader.number() == 0 ? VmRole::Entry : VmRole::Endpoint;
    record.m_dataCentre = DataCentreName(reader.text());
    record.m_controlAddress = readAddress(reader);
    record.m_serviceAddress = readAddress(reader);
    record.m_operatorAddress = readAddress(reader);
    record.m_endpoint = EndpointName(reader.text());
    record.m_incarnation = Incarnation{reader.number()};
    record.m_revision = reader.number();
    record.m_isLeaving = reader.flag();
    const std::uint64_t health = reader.number();
    if (health > static_cast<std::uint64_t>(MemberHealth::Dead))
        reader.fail();
    record.m_health = reader.ok() ? static_cast<MemberHealth>(health) : MemberHealth::Dead;
    return record;
}

} // namespace burdockhead
