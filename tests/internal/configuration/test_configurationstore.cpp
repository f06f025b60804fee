#include <burdockhead/configuration/acceptance.h>
#include <burdockhead/configuration/configurationfreshness.h>
#include <burdockhead/configuration/configurationstore.h>

#include <property.h>

using namespace burdockhead;

namespace {

std::optional<Configuration> acceptAnyText(const std::string &, Failure &)
{
    return Configuration();
}

// A store without the version check: applies any version that arrives.
struct UncheckedStore
{
    std::uint64_t m_version = 0;
    void offer(std::uint64_t version) { m_version = version; }
};

TimePoint at(int milliseconds)
{
    return TimePoint(Seconds(100)) + Milliseconds(milliseconds);
}

DataCentreName dataCentre(int index)
{
    return DataCentreName(std::string(1, static_cast<char>('a' + index)));
}

// The platform's configuration object; replies to its writes may get lost.
struct StoredConfiguration
{
    PlatformObject m_object{configurationObjectKind, configurationObjectName, 1, "text"};

    WriteAnswer write(const PlatformObject &object, bool isReplyLost)
    {
        WriteAnswer reply{WriteResult::Conflict, 0};
        if (object.m_version == m_object.m_version) {
            m_object = object;
            reply = {WriteResult::Applied, ++m_object.m_version};
        }
        return isReplyLost ? WriteAnswer() : reply;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStores)

BOOST_AUTO_TEST_CASE(versions_in_any_order_never_go_back_unlike_in_an_unchecked_store)
{
    bool hasUncheckedGoneBack = false;
    checkProperty("late and duplicated versions",
                  [&hasUncheckedGoneBack](const std::vector<std::uint8_t> &versions) {
                      ConfigurationStore store(acceptAnyText);
                      UncheckedStore unchecked;
                      std::uint64_t highest = 0;
                      Failure failure;
                      for (const std::uint64_t version : versions) {
                          store.offer(version, std::to_string(version), failure);
                          unchecked.offer(version);
                          highest = std::max(highest, version);
                          RC_ASSERT(store.version() == highest);
                          hasUncheckedGoneBack =
                              hasUncheckedGoneBack || unchecked.m_version < highest;
                      }
                  });
    BOOST_TEST(hasUncheckedGoneBack);
}

BOOST_AUTO_TEST_CASE(a_patch_makes_the_new_text_and_rejects_another_base)
{
    checkProperty("patches", [](const std::string &base, const std::string &text) {
        const TextPatch patch = TextPatch::between(base, text);
        RC_ASSERT(patch.applyTo(base) == text);
        const auto patched = patch.applyTo(base + "x");
        RC_ASSERT(!patched || *patched == text);
    });
}

BOOST_AUTO_TEST_CASE(a_majority_of_authoritative_reports_is_needed)
{
    ConfigurationFreshness freshness{Seconds(2)};
    freshness.setDataCentres({dataCentre(0), dataCentre(1), dataCentre(2)});
    freshness.setApplied(5);
    freshness.onDataCentreReport(dataCentre(0), {5, at(0), false});
    BOOST_TEST(!freshness.isCurrent(at(1)));
    freshness.onDataCentreReport(dataCentre(1), {5, at(0), true});
    BOOST_TEST(!freshness.isCurrent(at(1)));
    freshness.onDataCentreReport(dataCentre(1), {5, at(10), false});
    BOOST_TEST(freshness.isCurrent(at(1999)));
    BOOST_TEST(!freshness.isCurrent(at(2000)));
    freshness.onDataCentreReport(dataCentre(2), {6, at(1000), false});
    freshness.onDataCentreReport(dataCentre(0), {5, at(1000), false});
    BOOST_TEST(!freshness.isCurrent(at(2000)));
    freshness.setApplied(6);
    BOOST_TEST(freshness.isCurrent(at(2999)));
}

BOOST_AUTO_TEST_CASE(an_acceptance_quorum_overlaps_every_majority)
{
    for (std::size_t count = 1; count <= 11; ++count)
        BOOST_TEST(acceptanceQuorum(count) + count / 2 + 1 > count);
}

// Guards against a change that is applied twice or reported with a wrong outcome: two operators
// race from the same base version while write replies get lost.
BOOST_AUTO_TEST_CASE(racing_changes_with_lost_replies_have_one_winner)
{
    checkProperty("races", [](const std::vector<bool> &turns,
                              const std::vector<bool> &repliesLost) {
        StoredConfiguration platform;
        Acceptance one(1, "one", "n1");
        Acceptance two(1, "two", "n2");
        std::size_t writes = 0;
        const auto step = [&](Acceptance &change) {
            if (change.step() == AcceptanceStep::Read)
                change.onRead({true, platform.m_object}, true);
            else if (change.step() == AcceptanceStep::Write)
                change.onWrite(platform.write(
                    change.updatedObject(), writes < repliesLost.size() && repliesLost[writes++]));
            else
                change.onQuorumReached();
        };
        for (const bool isFirst : turns)
            step(isFirst ? one : two);
        for (int index = 0; index < 100; ++index) {
            step(one);
            step(two);
        }
        RC_ASSERT(platform.m_object.m_version == 2U);
        const bool oneWon = platform.m_object.m_value.ends_with("one");
        const Acceptance &winner = oneWon ? one : two;
        const Acceptance &loser = oneWon ? two : one;
        RC_ASSERT(winner.result().m_outcome == ApplyOutcome::Accepted);
        RC_ASSERT(loser.result().m_outcome == ApplyOutcome::Conflict);
        RC_ASSERT(loser.result().m_text == (oneWon ? "one" : "two"));
    });
}

BOOST_AUTO_TEST_CASE(a_stored_value_round_trips_and_plain_text_has_no_nonces)
{
    const ConfigurationValue value{{"n1", "n2"}, "[section]\nkey = value\n"};
    BOOST_TEST((ConfigurationValue::parse(value.toString()) == value));
    BOOST_TEST(ConfigurationValue::parse("text").m_nonces.empty());
    BOOST_TEST(value.withChange("n3", "").contains("n1"));
    BOOST_TEST(!isValidNonce("a b"));
}

BOOST_AUTO_TEST_SUITE_END()
