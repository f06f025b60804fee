#include "property.h"
#include "routingfixture.h"
#include <burdockhead/routing/replicatable.h>

#include <map>
#include <ostream>
#include <vector>

using namespace burdockhead;

namespace {

// Random announcement of a property.
struct AnnouncementDraw
{
    unsigned m_endpoint = 0;
    unsigned m_incarnation = 0;
    ReplicaState m_state = ReplicaState::Alive;
};

std::ostream &operator<<(std::ostream &stream, const AnnouncementDraw &draw)
{
    return stream << 'e' << draw.m_endpoint << '@' << draw.m_incarnation << ':'
                  << static_cast<int>(draw.m_state);
}

rc::Gen<std::vector<AnnouncementDraw>> announcementDraws()
{
    return rc::gen::container<std::vector<AnnouncementDraw>>(rc::gen::build<AnnouncementDraw>(
        rc::gen::set(&AnnouncementDraw::m_endpoint, rc::gen::inRange(0U, 3U)),
        rc::gen::set(&AnnouncementDraw::m_incarnation, rc::gen::inRange(1U, 5U)),
        rc::gen::set(&AnnouncementDraw::m_state,
                     rc::gen::element(ReplicaState::Alive, ReplicaState::Suspect,
                                      ReplicaState::Leaving, ReplicaState::Dead))));
}

// A table without the incarnation check: the last announcement wins.
class LastWriteWinsTable
{
public:
    bool applyAnnouncement(const ReplicaAnnouncement &announcement, TimePoint /*now*/)
    {
        m_last[announcement.m_endpoint] = announcement;
        return true;
    }

    const ReplicaAnnouncement &known(const EndpointName &name) { return m_last[name]; }

private:
    std::map<EndpointName, ReplicaAnnouncement> m_last;
};

class Table
{
public:
    bool applyAnnouncement(const ReplicaAnnouncement &announcement, TimePoint now)
    {
        return m_table.applyAnnouncement(announcement, now);
    }

    const ReplicaAnnouncement &known(const EndpointName &name)
    {
        return *m_table.replica(*m_table.find(name)).m_announcement;
    }

private:
    ReplicaTable m_table{RouterOptions()};
};

// Returns whether the table always has the highest incarnation and never reverts from leaving to
// alive.
template <typename Subject>
bool neverReverts(const std::vector<AnnouncementDraw> &draws)
{
    Subject table;
    std::map<unsigned, unsigned> highest;
    std::map<unsigned, bool> left;
    for (const AnnouncementDraw &draw : draws) {
        table.applyAnnouncement(makeAnnouncement(draw.m_endpoint, draw.m_incarnation, draw.m_state),
                                startTime);
        unsigned &incarnation = highest[draw.m_endpoint];
        if (draw.m_incarnation > incarnation)
            left[draw.m_endpoint] = false;
        incarnation = std::max(incarnation, draw.m_incarnation);
        if (draw.m_incarnation == incarnation && draw.m_state == ReplicaState::Leaving)
            left[draw.m_endpoint] = true;
        const ReplicaAnnouncement &known = table.known(endpointName(draw.m_endpoint));
        if (known.m_incarnation.m_value != incarnation)
            return false;
        if (left[draw.m_endpoint] && known.m_state < ReplicaState::Leaving)
            return false;
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReplicaTables)

BOOST_AUTO_TEST_CASE(an_earlier_incarnation_never_replaces_a_later_one)
{
    checkProperty("any order of announcements",
                  [] { RC_ASSERT(neverReverts<Table>(*announcementDraws())); });
}

BOOST_AUTO_TEST_CASE(a_table_where_the_last_announcement_wins_is_detected)
{
    BOOST_TEST(!rc::check("expected to be falsifiable: the last announcement wins", [] {
        RC_ASSERT(neverReverts<LastWriteWinsTable>(*announcementDraws()));
    }));
}

BOOST_AUTO_TEST_CASE(a_replica_declared_dead_in_error_can_be_alive_again)
{
    ReplicaTable table{RouterOptions()};
    BOOST_TEST(table.applyAnnouncement(makeAnnouncement(0, 1), startTime));
    BOOST_TEST(table.applyAnnouncement(makeAnnouncement(0, 1, ReplicaState::Dead), startTime));
    BOOST_TEST(table.applyAnnouncement(makeAnnouncement(0, 1), startTime));
}

BOOST_AUTO_TEST_CASE(only_a_higher_version_of_the_configuration_is_applied)
{
    ReplicaTable table{RouterOptions()};
    BOOST_TEST(table.applyConfiguration(makeVersion(5, makeConfiguration(4))));
    BOOST_TEST(!table.applyConfiguration(makeVersion(5, makeConfiguration(2))));
    BOOST_TEST(!table.applyConfiguration(makeVersion(4, makeConfiguration(2))));
    BOOST_TEST(table.configuration()->m_configuration.m_endpoints.size() == 4U);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_without_load_and_cold)
{
    ReplicaTable table{RouterOptions()};
    table.applyConfiguration(makeVersion(1, makeConfiguration(4)));
    table.applyAnnouncement(makeAnnouncement(0, 1), startTime);
    const ReplicaIndex index = *table.find(endpointName(0));
    table.recordReport(index, {3, 0, 4, 1000, false, false}, startTime);
    table.onDispatched(index, startTime);
    table.recordPrefix(index, 77, true);
    BOOST_TEST(!table.replica(index).isCold());
    table.applyAnnouncement(makeAnnouncement(0, 2), startTime);
    BOOST_TEST(table.replica(index).isCold());
    BOOST_TEST(table.replica(index).m_load.localInFlight() == 0U);
    BOOST_TEST(!table.replica(index).m_prefixes.contains(77));
    BOOST_TEST(table.dataCentreOf(table.replica(index)).m_localInFlight == 0U);
}

BOOST_AUTO_TEST_CASE(stale_replicas_are_kept_up_to_a_limit)
{
    ReplicaTable table{RouterOptions()};
    table.applyConfiguration(makeVersion(1, makeConfiguration(6)));
    table.applyAnnouncement(makeAnnouncement(5, 1), startTime);
    table.applyAnnouncement(makeAnnouncement(4, 2, ReplicaState::Dead), startTime);
    table.applyConfiguration(makeVersion(2, makeConfiguration(4)));
    BOOST_TEST(!table.applyAnnouncement(makeAnnouncement(4, 1), startTime));
    for (unsigned number = 6; number < 5000; ++number)
        table.applyAnnouncement(makeAnnouncement(number, 1, ReplicaState::Dead), startTime);
    table.applyConfiguration(makeVersion(3, makeConfiguration(4)));
    BOOST_TEST(table.find(endpointName(5)).has_value());
    BOOST_TEST(!table.find(endpointName(4)).has_value());
    BOOST_TEST(table.replicas().size() == 5U);
}

BOOST_AUTO_TEST_CASE(a_late_announcement_is_rejected_after_a_removal)
{
    ReplicaTable table{RouterOptions()};
    table.applyConfiguration(makeVersion(1, makeConfiguration(4)));
    table.applyAnnouncement(makeAnnouncement(0, 3, ReplicaState::Dead), startTime);
    table.applyConfiguration(makeVersion(2, makeConfiguration(0)));
    table.applyAnnouncement(makeAnnouncement(0, 1), startTime);
    table.applyConfiguration(makeVersion(3, makeConfiguration(4)));
    BOOST_TEST(!table.replica(*table.find(endpointName(0))).mayReceiveWork());
}

BOOST_AUTO_TEST_CASE(a_sketch_holds_a_bounded_number_of_prefixes_and_drops_the_oldest)
{
    PrefixSketch sketch;
    constexpr std::uint64_t count = 10000;
    constexpr std::uint64_t spacing = 0x9E3779B97F4A7C15;
    for (std::uint64_t prefix = 1; prefix <= count; ++prefix)
        sketch.insert(prefix * spacing);
    std::uint64_t held = 0;
    for (std::uint64_t prefix = 1; prefix <= count; ++prefix)
        held += sketch.contains(prefix * spacing) ? 1 : 0;
    BOOST_TEST(held <= 128U);
    BOOST_TEST(sketch.contains(count * spacing));
    sketch.erase(count * spacing);
    BOOST_TEST(!sketch.contains(count * spacing));
}

BOOST_AUTO_TEST_SUITE_END()
