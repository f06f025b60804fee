#include <burdockhead/base/random.h>
#include <burdockhead/membership/exchange.h>
#include <burdockhead/membership/rendezvous.h>

#include <algorithm>
#include <property.h>

using namespace burdockhead;

namespace {

MemberRecord makeRecord(const std::string &name, std::uint64_t incarnation, std::uint64_t revision,
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
    return {makeRecord(name, 1, 0, MemberHealth::Alive), {}};
}

const TimePoint startTime{Seconds(100)};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipTables)

BOOST_AUTO_TEST_CASE(merging_the_same_records_in_any_order_gives_equal_tables)
{
    checkProperty("order does not matter", [](std::uint64_t seed) {
        Random random(seed);
        std::vector<MemberRecord> records;
        records.reserve(40);
        for (int index = 0; index < 40; ++index)
            records.push_back(makeRecord("m" + std::to_string(random() % 6), random() % 3,
                                         random() % 3, static_cast<MemberHealth>(random() % 3)));
        MembershipTable firstTable = makeTable("self");
        MembershipTable secondTable = makeTable("self");
        for (const MemberRecord &record : records)
            firstTable.merge(record, startTime);
        std::shuffle(records.begin(), records.end(), random);
        for (const MemberRecord &record : records)
            secondTable.mergeWithoutGossip(record, startTime);
        RC_ASSERT(firstTable.tableHash() == secondTable.tableHash());
        RC_ASSERT(firstTable.size() == secondTable.size());
    });
}

BOOST_AUTO_TEST_CASE(a_suspect_becomes_dead_after_the_timeout_and_alive_after_a_refutation)
{
    MembershipTable table = makeTable("self");
    table.merge(makeRecord("peer", 1, 0, MemberHealth::Alive), startTime);
    table.suspect(ProcessName("peer"), startTime);
    table.tick(startTime + Milliseconds(2999));
    BOOST_TEST((table.find(ProcessName("peer"))->state() == ReplicaState::Suspect));
    table.tick(startTime + Seconds(3));
    BOOST_TEST((table.find(ProcessName("peer"))->state() == ReplicaState::Dead));
    BOOST_TEST(!table.merge(makeRecord("peer", 1, 0, MemberHealth::Alive), startTime));
    BOOST_TEST(table.merge(makeRecord("peer", 1, 1, MemberHealth::Alive), startTime));
    BOOST_TEST(table.members(VmRole::Entry).size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_process_refutes_its_own_death)
{
    MembershipTable table = makeTable("self");
    table.merge(makeRecord("self", 1, 4, MemberHealth::Dead), startTime);
    BOOST_TEST(table.self().m_revision == 5U);
    BOOST_TEST((table.self().m_health == MemberHealth::Alive));
}

BOOST_AUTO_TEST_CASE(losing_a_candidate_changes_only_the_choices_that_included_it)
{
    checkProperty("rendezvous", [](const std::string &key) {
        std::vector<ProcessName> candidates;
        candidates.reserve(10);
        for (int index = 0; index < 10; ++index)
            candidates.emplace_back("entry" + std::to_string(index));
        const auto before = chooseByRendezvous(key, candidates, 2);
        const ProcessName lostCandidate = candidates[3];
        std::erase(candidates, lostCandidate);
        const auto after = chooseByRendezvous(key, candidates, 2);
        for (const ProcessName &name : before)
            RC_ASSERT(name == lostCandidate
                      || std::find(after.begin(), after.end(), name) != after.end());
    });
}

BOOST_AUTO_TEST_CASE(decoding_arbitrary_bytes_does_not_crash)
{
    checkProperty("arbitrary bytes", [](const std::string &bytes) {
        decodeExchangeRequest(bytes);
        decodeExchangeReply(bytes);
        decodeSyncMessage(bytes);
    });
}

BOOST_AUTO_TEST_SUITE_END()
