#include <burdockhead/expertmap/expertmap.h>
#include <burdockhead/expertmap/mapchangemessage.h>
#include <burdockhead/expertmap/voterecord.h>

#include <property.h>

using namespace burdockhead;

namespace {

const MapChange change{{7, 2}, 3, 4, 1000};

} // namespace

BOOST_AUTO_TEST_SUITE(MapChangeMessages)

BOOST_AUTO_TEST_CASE(every_message_is_read_back_as_it_was_written)
{
    const std::vector<MapChangeMessage> messages = {
        RankStateRequest(),          RankState{1, 20, 3, true, {7, 1}},
        StageMap{{7, 2}, "map"},     MapStaged{{7, 2}, 5},
        PrepareSwitch{change},       VoteRequest{change},
        SwitchVote{{7, 2}, 1, true}, SwitchOutcome{{7, 2}, true},
    };
    for (const MapChangeMessage &message : messages) {
        const std::string bytes = encodeMapChangeMessage(message);
        BOOST_TEST((decodeMapChangeMessage(bytes) == message));
        BOOST_TEST(!decodeMapChangeMessage(bytes.substr(0, bytes.size() - 1)).has_value());
        BOOST_TEST(!decodeMapChangeMessage(bytes + "x").has_value());
    }
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_do_no_harm)
{
    checkProperty("arbitrary bytes", [](const std::string &bytes) {
        decodeMapChangeMessage(bytes);
        VoteRecord::decode(bytes);
        ExpertMap::decode(bytes);
    });
}

BOOST_AUTO_TEST_CASE(a_record_is_read_back_as_it_was_written)
{
    VoteRecord record{9, {7, 2}, change, {{6, 1}, 2, 3, 500}};
    BOOST_TEST((VoteRecord::decode(record.encode()) == record));
    record.m_promisedChange.reset();
    BOOST_TEST((VoteRecord::decode(record.encode()) == record));
    BOOST_TEST((VoteRecord::decode("") == VoteRecord()));
    BOOST_TEST(!VoteRecord::decode("x").has_value());
}

BOOST_AUTO_TEST_CASE(a_map_of_a_large_group_is_read_back_from_few_bytes)
{
    ExpertMap map = ExpertMap::roundRobin(60, 64, 128, 1);
    map.m_version = 9;
    const std::string bytes = map.encode();
    BOOST_TEST((ExpertMap::decode(bytes) == map));
    BOOST_TEST(bytes.size() < 20'000U);
}

BOOST_AUTO_TEST_CASE(a_map_with_an_expert_on_no_rank_is_refused)
{
    ExpertMap map = ExpertMap::roundRobin(1, 4, 2, 2);
    map.m_layers[0][1].clear();
    BOOST_TEST(!ExpertMap::decode(map.encode()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
