#include <burdockhead/deployment.h>
#include <burdockhead/settings/configurationtext.h>

#include <property.h>

using namespace burdockhead;

namespace {

std::string nameOf(const char *type, std::size_t index)
{
    return type + std::string("-") + std::to_string(index);
}

std::uint32_t upTo(std::uint32_t high)
{
    return *rc::gen::inRange<std::uint32_t>(1, high + 1);
}

declare::Limits someLimits()
{
    declare::Limits limits;
    limits.m_warm = upTo(50);
    limits.m_cold = *rc::gen::inRange<std::uint32_t>(0, limits.m_warm + 1);
    limits.m_queue = upTo(50);
    return limits;
}

declare::ModelGroup someGroup(const std::string &name, const std::vector<std::string> &kinds)
{
    declare::ModelGroup group;
    group.m_name = name;
    group.m_model = nameOf("model", upTo(3));
    group.m_kinds = kinds;
    group.m_limits = someLimits();
    group.m_ranks = upTo(5);
    group.m_layers = upTo(5);
    group.m_expertsPerLayer = upTo(40);
    group.m_expertSlotsPerRank = (group.m_expertsPerLayer + group.m_ranks - 1) / group.m_ranks;
    group.m_expertSlotsPerRank += *rc::gen::inRange<std::uint32_t>(0, 3);
    return group;
}

// Declares a deployment at random.
declare::Deployment someDeployment()
{
    declare::Deployment deployment;
    const std::size_t dataCentres = upTo(3);
    for (std::size_t index = 0; index < dataCentres; ++index)
        deployment.add(declare::DataCentre{nameOf("dc", index), *rc::gen::arbitrary<bool>()});
    std::vector<std::string> kinds;
    const std::size_t kindCount = upTo(4);
    for (std::size_t index = 0; index < kindCount; ++index) {
        kinds.push_back(nameOf("kind", index));
        const bool repeats = *rc::gen::arbitrary<bool>();
        deployment.add(declare::Kind{kinds.back(),
                                     repeats ? declare::Repeatable::Yes : declare::Repeatable::No,
                                     upTo(9), upTo(9), std::chrono::milliseconds(upTo(90000))});
    }
    deployment.add(declare::Workspace{"w", upTo(100)});
    const std::size_t groups = upTo(4);
    for (std::size_t index = 0; index < groups; ++index)
        deployment.add(someGroup(nameOf("g", index), kinds))
            .addRanks(nameOf("g", index), nameOf("dc", index % dataCentres),
                      declare::ChecksFencing::Yes);
    deployment.add(declare::Service{"f-service", kinds, someLimits()});
    deployment.add(declare::Endpoint{"s-0", "f-service", "dc-0"});
    return deployment;
}

// Why a declaration is refused; empty if it isn't.
template <typename Item>
std::string refusalOf(const Item &item)
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

// What the key table allows, as the library would say it.
std::string allowedFor(const std::string &section, const std::string &key)
{
    const std::string start = "a whole number from ";
    for (const KeyDescription &description : configurationKeys()) {
        if (description.m_section == section && description.m_key == key)
            return "; allowed: " + description.m_allowed.substr(start.size());
    }
    return "no such key";
}

declare::ModelGroup groupWith(std::uint32_t ranks, std::uint32_t layers, std::uint32_t experts,
                              std::uint32_t slots)
{
    return {"n", "x", {}, {"k"}, {}, ranks, layers, experts, slots};
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorsLibrary)

BOOST_AUTO_TEST_CASE(the_library_has_the_bounds_of_the_key_tables)
{
    constexpr std::uint32_t tooMany = 4000000;
    const auto holds = [](const std::string &refusal, const char *section, const char *key) {
        BOOST_TEST(refusal.ends_with(allowedFor(section, key)), refusal << " for " << key);
    };
    using declare::Repeatable;
    holds(refusalOf(declare::Kind{"x", Repeatable::Yes, tooMany}), "kind", "weight");
    holds(refusalOf(declare::Kind{"x", Repeatable::Yes, 1, tooMany}), "kind", "priority");
    holds(refusalOf(declare::Kind{"x", Repeatable::Yes, 1, 1, std::chrono::hours(99)}), "kind",
          "deadline_ms");
    holds(refusalOf(declare::Workspace{"v", tooMany}), "workspace", "share");
    holds(refusalOf(declare::Service{"t", {"k"}, {1, tooMany, 1}}), "service", "warm_limit");
    holds(refusalOf(declare::Service{"t", {"k"}, {1, 1, tooMany}}), "service", "queue_limit");
    holds(refusalOf(groupWith(tooMany, 1, 1, 1)), "model_group", "ranks");
    holds(refusalOf(groupWith(1, tooMany, 1, 1)), "model_group", "layers");
    holds(refusalOf(groupWith(1, 1, tooMany, 1)), "model_group", "experts_per_layer");
    holds(refusalOf(groupWith(1, 1, 1, tooMany)), "model_group", "expert_slots_per_rank");
}

BOOST_AUTO_TEST_CASE(whatever_the_library_prints_is_accepted_and_loses_nothing)
{
    checkProperty("round trip", [] {
        const std::string text = someDeployment().print();
        Diagnostics diagnostics;
        const auto configuration = parseConfiguration(text, "f.ini", diagnostics);
        RC_ASSERT(toString(diagnostics) == "");
        RC_ASSERT(printConfiguration(*configuration) == text);
    });
}

BOOST_AUTO_TEST_CASE(mistakes_are_refused_where_they_are_declared)
{
    const auto starts = [](const std::string &refusal, const std::string &start) {
        BOOST_TEST(refusal.starts_with(start), "'" << refusal << "' should start " << start);
    };
    starts(refusalOf(declare::DataCentre{"a"}), "data centre a: it is declared twice");
    starts(refusalOf(declare::DataCentre{"a b"}),
           "data centre a b: bad name 'a b'; allowed: 1 to 63");
    starts(refusalOf(declare::Kind{"k", declare::Repeatable::Yes}), "kind k: it is declared twice");
    starts(refusalOf(declare::Kind{"x", declare::Repeatable::Yes, 0}),
           "kind x: weight is 0; allowed: 1 to 1000000");
    starts(refusalOf(declare::Kind{"x", declare::Repeatable::Yes, 1, 10}),
           "kind x: priority is 10; allowed: 0 to 9");
    starts(refusalOf(declare::Workspace{"v", 0}), "workspace v: share is 0");
    starts(refusalOf(declare::ModelGroup{"n", "small", {}, {}, {}}),
           "model group n: it answers no kind");
    starts(refusalOf(declare::ModelGroup{"n", "", {}, {"k"}, {}}),
           "model group n, model: bad name ''");
    starts(refusalOf(declare::ModelGroup{"n", "x", {}, {"j"}, {}}),
           "model group n: no kind is named 'j'");
    starts(refusalOf(declare::ModelGroup{"s", "x", {}, {"k"}, {}}),
           "model group s: a service has this name");
    starts(refusalOf(declare::ModelGroup{"n", "x", {}, {"k"}, {9, 8, 1}}),
           "model group n: cold limit is 9; allowed: 0 to 8");
    starts(refusalOf(declare::ModelGroup{"n", "x", {}, {"k"}, {}, 2, 1, 5, 2}),
           "model group n: number of expert slots per rank is 2; allowed: 3 to 4096");
    starts(refusalOf(declare::Service{"m", {"k"}, {}}), "service m: a model group has this name");
    starts(refusalOf(declare::Service{"t", {"k", "k"}, {}}),
           "service t, kinds: 'k' is listed twice");
    starts(refusalOf(declare::Endpoint{"e", "x", "a"}),
           "endpoint e: no model group or service is named");
    starts(refusalOf(declare::Endpoint{"e", "m", "b"}), "endpoint e: no data centre is named 'b'");
    starts(refusalOf(declare::Endpoint{"e", "m", "a", 0}), "endpoint e: rank 0 is taken by m-0");
    starts(refusalOf(declare::Endpoint{"e", "m", "a", 2}),
           "endpoint e: rank is 2; allowed: 0 to 1");
    BOOST_TEST(refusalOf(declare::Endpoint{"e", "m", "a", 1}) == "");
}

BOOST_AUTO_TEST_CASE(a_kind_without_capacity_is_refused_when_printed)
{
    declare::Deployment deployment;
    deployment.add(declare::Kind{"k"});
    BOOST_CHECK_THROW(deployment.print(), DeclarationError);
}

BOOST_AUTO_TEST_SUITE_END()
