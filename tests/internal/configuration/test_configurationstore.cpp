#include <burdockhead/configuration/acceptance.h>
#include <burdockhead/configuration/configurationfreshness.h>
#include <burdockhead/configuration/configurationstore.h>

#include <property.h>

using namespace burdockhead;

namespace {

std::optional<Configuration> parseAnything(const std::string &, Failure &)
{
    return Configuration();
}

// What the store would be if it applied whatever comes.
struct NaiveStore
{
    std::uint64_t m_version = 0;
    void offer(std::uint64_t version) { m_version = version; }
};

TimePoint at(int milliseconds)
{
    return TimePoint(Seconds(100)) + Milliseconds(milliseconds);
}

DataCentreName named(int index)
{
    return DataCentreName(std::string(1, static_cast<char>('a' + index)));
}

// The platform's one object, with writes that may lose their answer.
struct OneObject
{
    PlatformObject m_object{configurationObjectKind, configurationObjectName, 1, "text"};

    WriteAnswer write(const PlatformObject &object, bool answerLost)
    {
        WriteAnswer answer{WriteResult::Conflict, 0};
        if (object.m_version == m_object.m_version) {
            m_object = object;
            answer = {WriteResult::Applied, ++m_object.m_version};
        }
        return answerLost ? WriteAnswer() : answer;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStores)

BOOST_AUTO_TEST_CASE(versions_in_any_order_never_go_back_and_the_naive_store_does)
{
    bool naiveWentBack = false;
    checkProperty("late and doubled versions",
                  [&naiveWentBack](const std::vector<std::uint8_t> &versions) {
                      ConfigurationStore store(parseAnything);
                      NaiveStore naive;
                      std::uint64_t highest = 0;
                      Failure failure;
                      for (const std::uint64_t version : versions) {
                          store.offer(version, std::to_string(version), failure);
                          naive.offer(version);
                          highest = std::max(highest, version);
                          RC_ASSERT(store.version() == highest);
                          naiveWentBack = naiveWentBack || naive.m_version < highest;
                      }
                  });
    BOOST_TEST(naiveWentBack);
}

BOOST_AUTO_TEST_CASE(a_patch_makes_the_new_text_and_refuses_another_base)
{
    checkProperty("patches", [](const std::string &base, const std::string &text) {
        const TextPatch patch = TextPatch::between(base, text);
        RC_ASSERT(patch.applyTo(base) == text);
        const auto other = patch.applyTo(base + "x");
        RC_ASSERT(!other || *other == text);
    });
}

BOOST_AUTO_TEST_CASE(a_majority_is_needed_and_lapsed_words_do_not_count)
{
    ConfigurationFreshness currency{Seconds(2)};
    currency.setDataCentres({named(0), named(1), named(2)});
    currency.setApplied(5);
    currency.onDataCentreReport(named(0), {5, at(0), false});
    BOOST_TEST(!currency.isCurrent(at(1)));
    currency.onDataCentreReport(named(1), {5, at(0), true});
    BOOST_TEST(!currency.isCurrent(at(1)));
    currency.onDataCentreReport(named(1), {5, at(10), false});
    BOOST_TEST(currency.isCurrent(at(1999)));
    BOOST_TEST(!currency.isCurrent(at(2000)));
    currency.onDataCentreReport(named(2), {6, at(1000), false});
    currency.onDataCentreReport(named(0), {5, at(1000), false});
    BOOST_TEST(!currency.isCurrent(at(2000)));
    currency.setApplied(6);
    BOOST_TEST(currency.isCurrent(at(2999)));
}

BOOST_AUTO_TEST_CASE(an_acceptance_quorum_meets_every_majority)
{
    for (std::size_t count = 1; count <= 11; ++count)
        BOOST_TEST(acceptanceQuorum(count) + count / 2 + 1 > count);
}

// Two operators race from one base; answers get lost; one write or none is applied for each
// nonce, and what is reported is true.
BOOST_AUTO_TEST_CASE(racing_changes_with_lost_answers_have_one_winner)
{
    checkProperty("races", [](const std::vector<bool> &turns, const std::vector<bool> &losses) {
        OneObject platform;
        Acceptance one(1, "one", "n1");
        Acceptance two(1, "two", "n2");
        std::size_t writes = 0;
        const auto step = [&](Acceptance &change) {
            if (change.step() == AcceptanceStep::Read)
                change.onRead({true, platform.m_object}, true);
            else if (change.step() == AcceptanceStep::Write)
                change.onWrite(platform.write(change.updatedObject(),
                                              writes < losses.size() && losses[writes++]));
            else
                change.onQuorumReached();
        };
        for (const bool first : turns)
            step(first ? one : two);
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

BOOST_AUTO_TEST_CASE(a_stored_value_reads_back_and_plain_text_has_no_nonces)
{
    const ConfigurationValue value{{"n1", "n2"}, "[section]\nkey = value\n"};
    BOOST_TEST((ConfigurationValue::parse(value.toString()) == value));
    BOOST_TEST(ConfigurationValue::parse("text").m_nonces.empty());
    BOOST_TEST(value.changed("n3", "").contains("n1"));
    BOOST_TEST(!isValidNonce("a b"));
}

BOOST_AUTO_TEST_SUITE_END()
