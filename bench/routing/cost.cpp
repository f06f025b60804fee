#include "scenarios.h"
#include <burdockhead/routing/entryrouter.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>

namespace burdockhead {

namespace {

constexpr unsigned decisions = 200000;
constexpr unsigned dataCentres = 11;
constexpr unsigned groups = 7;
constexpr unsigned prefixes = 5000;

Configuration makeConfiguration(unsigned replicas)
{
    Configuration configuration;
    for (unsigned number = 0; number < dataCentres; ++number)
        configuration.m_dataCentres.push_back({DataCentreName(fmt::format("d{:02}", number))});
    configuration.m_kinds = {{KindName("digest")}};
    configuration.m_workspaces = {{WorkspaceName("w")}};
    for (unsigned number = 0; number < groups; ++number) {
        EndpointGroup group;
        group.m_name = GroupName(fmt::format("g{}", number));
        group.m_model = ModelName(fmt::format("m{}", number));
        group.m_kinds = {KindName("digest")};
        configuration.m_groups.push_back(group);
    }
    for (unsigned number = 0; number < replicas; ++number) {
        Endpoint endpoint;
        endpoint.m_name = EndpointName(fmt::format("e{:05}", number));
        endpoint.m_group = configuration.m_groups[number % groups].m_name;
        endpoint.m_dataCentre = configuration.m_dataCentres[number % dataCentres].m_name;
        configuration.m_endpoints.push_back(endpoint);
    }
    return configuration;
}

EntryRouter makeRouter(const Configuration &configuration, ChooserType chooser, TimePoint now)
{
    RouterOptions options;
    options.m_chooser = chooser;
    EntryRouter router(options, Random(1));
    router.applyConfiguration(
        std::make_shared<VersionedConfiguration>(VersionedConfiguration{1, {}, configuration}));
    for (const Endpoint &endpoint : configuration.m_endpoints) {
        router.applyAnnouncement({endpoint.m_name, endpoint.m_dataCentre, {"127.0.0.1", 1}, {1}},
                                 now);
        router.recordLoad(endpoint.m_name, {2, 0, 8, 500000, false, false}, now);
    }
    return router;
}

// Returns the nanoseconds of a routing decision with its bookkeeping: route, onDispatched and
// onAttemptEnded.
double nanosecondsPerDecision(const Configuration &configuration, ChooserType chooser)
{
    TimePoint now{Seconds(1000)};
    EntryRouter router = makeRouter(configuration, chooser, now);
    RequestAttributes request;
    request.m_workspace = WorkspaceName("w");
    request.m_kind = KindName("digest");
    request.m_deadline = now + std::chrono::hours(1);
    const LoadReport report{2, 0, 8, 500000, false, false};
    const unsigned count = chooser == ChooserType::PowerOfChoices ? decisions : decisions / 10;
    const auto begin = Clock::now();
    for (unsigned decision = 0; decision < count; ++decision) {
        request.m_model = configuration.m_groups[decision % groups].m_model;
        request.m_prefixHash = (decision % prefixes + 1) * 0x9E3779B97F4A7C15;
        now += std::chrono::microseconds(100);
        const RouteDecision routed = router.route(request, {}, now);
        if (!routed.m_target)
            continue;
        router.onDispatched(routed.m_target->m_endpoint, now);
        router.onAttemptEnded(routed.m_target->m_endpoint, AttemptOutcome::Completed, report, now);
    }
    return std::chrono::duration<double, std::nano>(Clock::now() - begin).count() / count;
}

} // namespace

void measureCost()
{
    constexpr unsigned repeats = 5;
    fmt::print("\n| replicas | chooser | nanoseconds a decision, median (lowest-highest) |\n"
               "|---|---|---|\n");
    struct Row
    {
        const char *m_name;
        ChooserType m_chooser;
    };
    constexpr std::array rows = {Row{"round robin", ChooserType::RoundRobin},
                                 Row{"least reported load", ChooserType::LeastReportedLoad},
                                 Row{"ours", ChooserType::PowerOfChoices}};
    for (const unsigned replicas : {19U, 660U, 6600U}) {
        const Configuration configuration = makeConfiguration(replicas);
        for (const Row &row : rows) {
            std::array<double, repeats> samples{};
            for (double &sample : samples)
                sample = nanosecondsPerDecision(configuration, row.m_chooser);
            std::sort(samples.begin(), samples.end());
            fmt::print("| {} | {} | {:.0f} ({:.0f}-{:.0f}) |\n", replicas, row.m_name,
                       samples[repeats / 2], samples.front(), samples.back());
        }
    }
}

} // namespace burdockhead
