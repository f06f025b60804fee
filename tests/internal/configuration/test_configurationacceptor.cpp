#include <burdockhead/configuration/configurationacceptor.h>

#include <boost/test/unit_test.hpp>

using namespace burdockhead;

namespace {

// A platform that has one configuration and answers at once.
class FakePlatform : public ObjectApi
{
public:
    ReadAnswer read(const std::string &, const std::string &, TimePoint) override
    {
        return {true, m_object};
    }
    WriteAnswer write(const PlatformObject &object, TimePoint) override
    {
        if (object.m_version != m_object.m_version)
            return {WriteResult::Conflict, 0};
        m_object = object;
        return {WriteResult::Applied, ++m_object.m_version};
    }
    ReadAnswer watch(const std::string &, const std::string &, std::uint64_t, TimePoint) override
    {
        return {};
    }
    std::optional<std::vector<Vm>> listVms(TimePoint) override { return std::nullopt; }

    PlatformObject m_object{"configuration", "current", 1, "a b c"};
};

// Data centres that report again from a time on.
class FakeDistribution : public ConfigurationDistribution
{
public:
    explicit FakeDistribution(TimePoint reachableFrom)
        : m_reachableFrom(reachableFrom)
    {}

    bool isQuorumReachable() override { return Clock::now() >= m_reachableFrom; }
    void onPlatformObject(const PlatformObject &) override {}
    bool waitForQuorum(std::uint64_t, TimePoint) override { return true; }

private:
    const TimePoint m_reachableFrom;
};

// Changes the configuration while a quorum is out of reach for that time.
ApplyResult applyWhileUnreachable(FakePlatform &platform, Milliseconds unreachableTime)
{
    FakeDistribution distribution(Clock::now() + unreachableTime);
    ConfigurationAcceptor acceptor(platform, distribution, [](const std::string &, Failure &) {
        return std::optional(Configuration());
    });
    return acceptor.apply(1, "a !b c", "change", Clock::now() + Seconds(30));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationAcceptors)

BOOST_AUTO_TEST_CASE(a_change_waits_for_data_centres_whose_reports_are_late)
{
    FakePlatform platform;
    const ApplyResult result = applyWhileUnreachable(platform, Milliseconds(700));
    BOOST_TEST((result.m_outcome == ApplyOutcome::Accepted), result.m_reason);
    BOOST_TEST(platform.m_object.m_version == 2U);
}

BOOST_AUTO_TEST_CASE(a_change_is_refused_unwritten_while_data_centres_stay_out_of_reach)
{
    FakePlatform platform;
    const TimePoint start = Clock::now();
    const ApplyResult result = applyWhileUnreachable(platform, Seconds(60));
    BOOST_TEST((result.m_outcome == ApplyOutcome::PlatformUnavailable));
    BOOST_TEST(platform.m_object.m_version == 1U);
    BOOST_TEST((Clock::now() - start < Seconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
