#include <burdockhead/deployment.h>
#include <burdockhead/settings/configurationtext.h>

#include <property.h>

using namespace burdockhead;

namespace {

std::string indexedName(const char *type, std::size_t index)
{
    return type + std::string("-") + std::to_string(index);
}

std::uint32_t randomUpTo(std::uint32_t high)
{
    return *rc::gen::inRange<std::uint32_t>(1, high + 1);
}

declare::Limits randomLimits()
{
    declare::Limits limits;
    limits.m_warm = randomUpTo(50);
    limits.m_cold = *rc::gen::inRange<std::uint32_t>(0, limits.m_warm + 1);
    limits.m_queue = randomUpTo(50);
    return limits;
}

declare::ModelGroup randomModelGroup(const std::string &name, const std::vector<std::string> &kinds)
{
    declare::ModelGroup group;
    group.m_name = name;
    group.m_model = indexedName("model", randomUpTo(3));
    group.m_kinds = kinds;
    group.m_limits = randomLimits();
    group.m_ranks = randomUpTo(5);
    group.m_layers = randomUpTo(5);
    group.m_expertsPerLayer = randomUpTo(40);
    group.m_expertSlotsPerRank = (group.m_expertsPerLayer + group.m_ranks - 1) / group.m_ranks;
    group.m_expertSlotsPerRank += *rc::gen::inRange<std::uint32_t>(0, 3);
    return group;
}

// Returns a random valid deployment.
declare::Deployment randomDeployment()
{
    declare::Deployment deployment;
    const std::size_t dataCentreCount = randomUpTo(3);
    for (std::size_t index = 0; index < dataCentreCount; ++index)
        deployment.add(declare::DataCentre{indexedName("dc", index), *rc::gen::arbitrary<bool>()});
    std::vector<std::string> kinds;
    const std::size_t kindCount = randomUpTo(4);
    for (std::size_t index = 0; index < kindCount; ++index) {
        kinds.push_back(indexedName("kind", index));
        const bool isRepeatable = *rc::gen::arbitrary<bool>();
        deployment.add(declare::Kind{
            kinds.back(), isRepeatable ? declare::Repeatable::Yes : declare::Repeatable::No,
            randomUpTo(9), randomUpTo(9), std::chrono::milliseconds(randomUpTo(90000))});
    }
    deployment.add(declare::Workspace{"w", randomUpTo(100)});
    const std::size_t groupCount = randomUpTo(4);
    for (std::size_t index = 0; index < groupCount; ++index)
        deployment.add(randomModelGroup(indexedName("g", index), kinds))
            .addRanks(indexedName("g", index), indexedName("dc", index % dataCentreCount),
                      declare::ChecksFencing::Yes);
    deployment.add(declare::Service{"f-service", kinds, randomLimits()});
    deployment.add(declare::Endpoint{"s-0", "f-service", "dc-0"});
    return deployment;
}

// Returns the error of adding a declaration; empty if it is accepted.
template <typename Item>
std::string declarationErrorOf(const Item &item)
{
    declare::Deployment deployment;
    deployment.add(declare::DataCentre{"a"}).add(declare::Kind{"k"}).add(declare::Workspace{"w"});
    deployment.add(declare::ModelGroup{"m", "small", {}, {"k"}, {}, 2});
    deployment.add(declare::Service{"s", {"k"}, {}}).add(declare::Endpoint{"m-0", "m", "a"});
    try {
        deployment.add(item);
    } catch (const DeclarationError &error) {
        return error.what();
    }
    return "";
}

// Returns the values that the key table allows, in the wording of the library's errors.
std::string allowedSuffix(const std::string &section, const std::string &key)
{
    const std::string prefix = "a whole number from ";
    for (const KeyDescription &description : configurationKeys()) {
        if (description.m_section == section && description.m_key == key)
            return "; allowed: " + description.m_allowed.substr(prefix.size());
    }
    return "no such key";
}

declare::ModelGroup groupOfSize(std::uint32_t ranks, std::uint32_t layers, std::uint32_t experts,
                                std::uint32_t slots)
{
    return {"n", "x", {}, {"k"}, {}, ranks, layers, experts, slots};
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorsLibrary)

BOOST_AUTO_TEST_CASE(the_library_enforces_the_bounds_of_the_key_tables)
{
    constexpr std::uint32_t aboveAllBounds = 4000000;
    const auto checkBounds = [](const std::string &error, const char *section, const char *key) {
        BOOST_TEST(error.ends_with(allowedSuffix(section, key)), error << " for " << key);
    };
    using declare::Repeatable;
    checkBounds(declarationErrorOf(declare::Kind{"x", Repeatable::Yes, aboveAllBounds}), "kind",
                "weight");
    checkBounds(declarationErrorOf(declare::Kind{"x", Repeatable::Yes, 1, aboveAllBounds}), "kind",
                "priority");
    checkBounds(
        declarationErrorOf(declare::Kind{"x", Repeatable::Yes, 1, 1, std::chrono::hours(99)}),
        "kind", "deadline_ms");
    checkBounds(declarationErrorOf(declare::Workspace{"v", aboveAllBounds}), "workspace", "share");
    checkBounds(declarationErrorOf(declare::Service{"t", {"k"}, {1, aboveAllBounds, 1}}), "service",
                "warm_limit");
    checkBounds(declarationErrorOf(declare::Service{"t", {"k"}, {1, 1, aboveAllBounds}}), "service",
                "queue_limit");
    checkBounds(declarationErrorOf(groupOfSize(aboveAllBounds, 1, 1, 1)), "model_group", "ranks");
    checkBounds(declarationErrorOf(groupOfSize(1, aboveAllBounds, 1, 1)), "model_group", "layers");
    checkBounds(declarationErrorOf(groupOfSize(1, 1, aboveAllBounds, 1)), "model_group",
                "experts_per_layer");
    checkBounds(declarationErrorOf(groupOfSize(1, 1, 1, aboveAllBounds)), "model_group",
                "expert_slots_per_rank");
}

BOOST_AUTO_TEST_CASE(printed_configurations_are_parsed_back_unchanged)
{
    checkProperty("round trip", [] {
        const std::string text = randomDeployment().print();
        Diagnostics diagnostics;
        const auto configuration = parseConfiguration(text, "f.ini", diagnostics);
        RC_ASSERT(toString(diagnostics) == "");
        RC_ASSERT(printConfiguration(*configuration) == text);
    });
}

BOOST_AUTO_TEST_CASE(invalid_declarations_are_rejected_when_added)
{
    const auto checkPrefix = [](const std::string &error, const std::string &prefix) {
        BOOST_TEST(error.starts_with(prefix), "'" << error << "' should start " << prefix);
    };
    checkPrefix(declarationErrorOf(declare::DataCentre{"a"}),
                "data centre a: it is declared twice");
    checkPrefix(declarationErrorOf(declare::DataCentre{"a b"}),
                "data centre a b: bad name 'a b'; allowed: 1 to 63");
    checkPrefix(declarationErrorOf(declare::Kind{"k", declare::Repeatable::Yes}),
                "kind k: it is declared twice");
    checkPrefix(declarationErrorOf(declare::Kind{"x", declare::Repeatable::Yes, 0}),
                "kind x: weight is 0; allowed: 1 to 1000000");
    checkPrefix(declarationErrorOf(declare::Kind{"x", declare::Repeatable::Yes, 1, 10}),
                "kind x: priority is 10; allowed: 0 to 9");
    checkPrefix(declarationErrorOf(declare::Workspace{"v", 0}), "workspace v: share is 0");
    checkPrefix(declarationErrorOf(declare::ModelGroup{"n", "small", {}, {}, {}}),
                "model group n: it answers no kind");
    checkPrefix(declarationErrorOf(declare::ModelGroup{"n", "", {}, {"k"}, {}}),
                "model group n, model: bad name ''");
    checkPrefix(declarationErrorOf(declare::ModelGroup{"n", "x", {}, {"j"}, {}}),
                "model group n: no kind is named 'j'");
    checkPrefix(declarationErrorOf(declare::ModelGroup{"s", "x", {}, {"k"}, {}}),
                "model group s: a service has this name");
    checkPrefix(declarationErrorOf(declare::ModelGroup{"n", "x", {}, {"k"}, {9, 8, 1}}),
                "model group n: cold limit is 9; allowed: 0 to 8");
    checkPrefix(declarationErrorOf(declare::ModelGroup{"n", "x", {}, {"k"}, {}, 2, 1, 5, 2}),
                "model group n: number of expert slots per rank is 2; allowed: 3 to 4096");
    checkPrefix(declarationErrorOf(declare::Service{"m", {"k"}, {}}),
                "service m: a model group has this name");
    checkPrefix(declarationErrorOf(declare::Service{"t", {"k", "k"}, {}}),
                "service t, kinds: 'k' is listed twice");
    checkPrefix(declarationErrorOf(declare::Endpoint{"e", "x", "a"}),
                "endpoint e: no model group or service is named");
    checkPrefix(declarationErrorOf(declare::Endpoint{"e", "m", "b"}),
                "endpoint e: no data centre is named 'b'");
    checkPrefix(declarationErrorOf(declare::Endpoint{"e", "m", "a", 0}),
                "endpoint e: rank 0 is taken by m-0");
    checkPrefix(declarationErrorOf(declare::Endpoint{"e", "m", "a", 2}),
                "endpoint e: rank is 2; allowed: 0 to 1");
    BOOST_TEST(declarationErrorOf(declare::Endpoint{"e", "m", "a", 1}) == "");
}

BOOST_AUTO_TEST_CASE(a_kind_without_capacity_is_rejected_when_printed)
{
    declare::Deployment deployment;
    deployment.add(declare::Kind{"k"});
    BOOST_CHECK_THROW(deployment.print(), DeclarationError);
}

BOOST_AUTO_TEST_SUITE_END()
