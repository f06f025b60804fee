#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <platform/platformengineprotocol.h>

using namespace burdockhead;

namespace {

const PlatformEngineProtocol protocol;

std::string report(const std::string &fields)
{
    return R"({"stage":"both","group":{"name":"g0-0","epoch":1,"rank":3,"state":"open"},"size":16,)"
           R"("busy":false,"sequence":2,"born":1777694836900,"pace":1.0,"step":35,"map":4,)"
           + fields + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformEngineProtocolTest)

BOOST_AUTO_TEST_CASE(a_report_is_read)
{
    const auto idle = protocol.readSnapshot(report(R"("prepared":null,"armed":null,"held":null)"));
    BOOST_REQUIRE(idle.has_value());
    BOOST_TEST(idle->m_group == "g0-0");
    BOOST_TEST(idle->m_rank == 3U);
    BOOST_TEST(idle->m_rankCount == 16U);
    BOOST_TEST(idle->m_isGroupRunning);
    BOOST_TEST(idle->m_step == 35U);
    BOOST_TEST(idle->m_mapVersion == 4U);
    BOOST_TEST(!idle->m_preparedVersion.has_value());
    BOOST_TEST(idle->m_sequence.value() == 2U);
    const auto changing =
        protocol.readSnapshot(report(R"("prepared":5,"armed":{"version":5,"step":47},"held":47)"));
    BOOST_REQUIRE(changing.has_value());
    BOOST_TEST(changing->m_preparedVersion.value() == 5U);
    BOOST_TEST((changing->m_armed == ArmedMap{5, 47}));
    BOOST_TEST(changing->m_heldStep.value() == 47U);
}

BOOST_AUTO_TEST_CASE(malformed_reports_and_reports_without_a_rank_are_rejected)
{
    for (const std::string body : {"", "{}", R"({"stage":"both","busy":false})", "nonsense",
                                   R"({"group":{"name":1},"size":16})"})
        BOOST_TEST(!protocol.readSnapshot(body).has_value(), body);
}

BOOST_AUTO_TEST_CASE(counts_and_held_experts_are_read)
{
    const auto counts = protocol.readCounts(R"({"step":812,"epoch":1,"counts":[5120,88,940]})");
    BOOST_TEST((counts == ExpertCounts{1, {5120, 88, 940}}));
    const auto experts = protocol.readExperts(
        R"({"epoch":1,"map":{"version":4,"experts":[[0,2],[1]]},"prepared":null})");
    BOOST_TEST((experts == RankExperts{4, {{0, 2}, {1}}}));
}

BOOST_AUTO_TEST_CASE(orders_are_written_with_their_fields)
{
    using Json = nlohmann::json;
    const ExpertMap map{9, {{{0}, {0, 1}, {1}}}};
    BOOST_TEST(
        Json::parse(protocol.writeOrder({0, RankOrderType::Prepare, 2, 9, 0}, &map, 2))
        == Json::parse(R"({"operation":"prepare","epoch":2,"version":9,"map":[[[0,1],[1,2]]]})"));
    BOOST_TEST(Json::parse(protocol.writeOrder({1, RankOrderType::Arm, 2, 9, 47}, nullptr, 2))
               == Json::parse(R"({"operation":"arm","epoch":2,"version":9,"step":47})"));
    BOOST_TEST(Json::parse(protocol.writeOrder({0, RankOrderType::Hold, 2, 0, 47}, nullptr, 2))
               == Json::parse(R"({"operation":"hold","epoch":2,"step":47})"));
    BOOST_TEST(Json::parse(protocol.writeOrder({0, RankOrderType::Resume, 2, 0, 47, 6}, nullptr, 2))
               == Json::parse(R"({"operation":"go","epoch":2,"step":47,"expected":6})"));
    BOOST_TEST(Json::parse(protocol.writeOrder({0, RankOrderType::Disarm, 2, 9, 0}, nullptr, 2))
               == Json::parse(R"({"operation":"disarm","epoch":2,"version":9})"));
}

BOOST_AUTO_TEST_SUITE_END()
