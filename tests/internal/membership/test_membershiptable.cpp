#include <burdockhead/base/random.h>
#include <burdockhead/membership/exchange.h>
#include <burdockhead/membership/rendezvous.h>

#include <algorithm>
#include <property.h>

using namespace burdockhead;

namespace {

MemberRecord member(const std::string &name, std::uint64_t incarnation, std::uint64_t revision,
                    MemberHealth health)
{
    MemberRecord record;
    record.m_name = ProcessName(name);
    record.m_dataCentre = DataCentreName("a");
    record.m_controlAddress = {"127.0.0.1", 1};
    record.m_incarnation = Incarnation{incarnation};
    record.m_revision = revision;
    record.m_health = health;
    return record;
}

MembershipTable makeTable(const std::string &name)
{
    return {member(name, 1, 0, MemberHealth::Alive), {}};
}

const TimePoint start{Seconds(100)};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipTables)

BOOST_AUTO_TEST_CASE(tables_that_saw_the_same_records_in_any_order_are_equal)
{
    checkProperty("order does not matter", [](std::uint64_t seed) {
        Random random(seed);
        std::vector<MemberRecord> records;
        records.reserve(40);
        for (int index = 0; index < 40; ++index)
            records.push_back(member("m" + std::to_string(random() % 6), random() % 3, random() % 3,
                                     static_cast<MemberHealth>(random() % 3)));
        MembershipTable left = makeTable("self");
        MembershipTable right = makeTable("self");
        for (const MemberRecord &record : records)
            left.merge(record, start);
        std::shuffle(records.begin(), records.end(), random);
        for (const MemberRecord &record : records)
            right.mergeQuietly(record, start);
        RC_ASSERT(left.tableHash() == right.tableHash());
        RC_ASSERT(left.size() == right.size());
    });
}

BOOST_AUTO_TEST_CASE(a_suspect_dies_in_time_and_a_refutation_brings_it_back)
{
    MembershipTable table = makeTable("self");
    table.merge(member("peer", 1, 0, MemberHealth::Alive), start);
    table.suspect(ProcessName("peer"), start);
    table.tick(start + Milliseconds(2999));
    BOOST_TEST((table.find(ProcessName("peer"))->state() == ReplicaState::Suspect));
    table.tick(start + Seconds(3));
    BOOST_TEST((table.find(ProcessName("peer"))->state() == ReplicaState::Dead));
    BOOST_TEST(!table.merge(member("peer", 1, 0, MemberHealth::Alive), start));
    BOOST_TEST(table.merge(member("peer", 1, 1, MemberHealth::Alive), start));
    BOOST_TEST(table.members(VmRole::Entry).size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_process_refutes_its_own_death)
{
    MembershipTable table = makeTable("self");
    table.merge(member("self", 1, 4, MemberHealth::Dead), start);
    BOOST_TEST(table.self().m_revision == 5U);
    BOOST_TEST((table.self().m_health == MemberHealth::Alive));
}

BOOST_AUTO_TEST_CASE(the_loss_of_a_candidate_moves_only_its_own_choices)
{
    checkProperty("rendezvous", [](const std::string &key) {
        std::vector<ProcessName> candidates;
        candidates.reserve(10);
        for (int index = 0; index < 10; ++index)
            candidates.emplace_back("entry" + std::to_string(index));
        const auto before = chooseByRendezvous(key, candidates, 2);
        const ProcessName lost = candidates[3];
        std::erase(candidates, lost);
        const auto after = chooseByRendezvous(key, candidates, 2);
        for (const ProcessName &name : before)
            RC_ASSERT(name == lost || std::find(after.begin(), after.end(), name) != after.end());
    });
}

BOOST_AUTO_TEST_CASE(any_bytes_are_read_without_harm)
{
    checkProperty("arbitrary bytes", [](const std::string &bytes) {
        decodeExchangeRequest(bytes);
        decodeExchangeResponse(bytes);
        decodeSyncMessage(bytes);
    });
}

BOOST_AUTO_TEST_SUITE_END()
