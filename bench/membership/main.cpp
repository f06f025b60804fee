// Measures membership and configuration at increasing cluster sizes: many services in this
// process, each on its own control port, with a platform stand-in. Prints one table.
#include <burdockhead/membership/membershipservice.h>
#include <burdockhead/platform/httpobjectapi.h>

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <freeport.h>
#include <platformstandin.h>
#include <thread>

using namespace burdockhead;

namespace {

constexpr Seconds measuringTime(10);
constexpr Seconds settleTime(25);
constexpr Seconds maxWait(20);

struct ClusterSize
{
    std::size_t m_dataCentreCount;
    std::size_t m_entryCount;
    std::size_t m_agentCount;
    std::size_t m_textBytes; // Of the configuration.
};

std::string configurationText(const ClusterSize &clusterSize, std::size_t changeNumber)
{
    std::string text = "change " + std::to_string(changeNumber) + "\n";
    text.resize(std::max(text.size(), clusterSize.m_textBytes), 'x');
    return text;
}

ConfigurationParser parserFor(std::size_t dataCentres)
{
    return [dataCentres](const std::string &, Failure &) -> std::optional<Configuration> {
        Configuration configuration;
        for (std::size_t index = 0; index < dataCentres; ++index)
            configuration.m_dataCentres.push_back(
                {DataCentreName("dc" + std::to_string(index)), false});
        return configuration;
    };
}

// Below the range of ephemeral ports.
SocketAddress controlAddress(std::size_t index)
{
    constexpr std::uint16_t firstPort = 21000;
    return {"127.0.0.1", static_cast<std::uint16_t>(firstPort + index)};
}

double cpuSeconds()
{
    rusage usage = {};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
           + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
}

double secondsSince(TimePoint start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

struct Traffic
{
    double m_bytes = 0;
    double m_messages = 0;
};

// All processes of one cluster size.
class BenchCluster
{
public:
    explicit BenchCluster(const ClusterSize &clusterSize)
        : m_clusterSize(clusterSize)
    {
        m_platform.start();
        m_api->write({"configuration", "current", 0, configurationText(clusterSize, 0)},
                     Clock::now() + Seconds(5));
        for (std::size_t index = 0; index < clusterSize.m_entryCount + clusterSize.m_agentCount;
             ++index) {
            const bool isEntry = index < clusterSize.m_entryCount;
            m_vms.push_back(
                {ProcessName((isEntry ? "entry" : "agent") + std::to_string(index)),
                 isEntry ? VmRole::Entry : VmRole::Endpoint,
                 DataCentreName("dc" + std::to_string(index % clusterSize.m_dataCentreCount)),
                 controlAddress(index), false});
        }
        for (const Vm &vm : m_vms)
            start(vm);
    }

    std::size_t serviceCount() const { return m_services.size(); }
    MembershipService &entry(std::size_t index) { return *m_services[index]; }
    void stopEntry(std::size_t index) { m_services[index]->stop(); }

    // Returns the seconds until the condition holds for all services but one, or -1 on timeout.
    template <typename Condition>
    double secondsUntilAll(std::size_t exceptIndex, Condition condition)
    {
        const TimePoint start = Clock::now();
        while (Clock::now() < start + maxWait) {
            bool all = true;
            for (std::size_t index = 0; index < m_services.size() && all; ++index)
                all = index == exceptIndex || condition(*m_services[index]);
            if (all)
                return secondsSince(start);
            std::this_thread::sleep_for(Milliseconds(2));
        }
        return -1;
    }

    Traffic traffic(std::size_t from, std::size_t to) const
    {
        Traffic traffic;
        for (std::size_t index = from; index < to; ++index) {
            const MembershipCounters counters = m_services[index]->counters();
            traffic.m_bytes += static_cast<double>(counters.m_bytesSent + counters.m_bytesReceived);
            traffic.m_messages +=
                static_cast<double>(counters.m_messagesSent + counters.m_messagesReceived);
        }
        return traffic;
    }

    std::uint64_t platformCalls() const
    {
        std::uint64_t callCount = 0;
        for (const auto &service : m_services)
            callCount += service->counters().m_platformCalls;
        return callCount;
    }

private:
    void start(const Vm &vm)
    {
        MembershipOptions options;
        options.m_name = vm.m_name;
        options.m_role = vm.m_role;
        options.m_dataCentre = vm.m_dataCentre;
        options.m_controlAddress = vm.m_control;
        options.m_incarnation = Incarnation{m_services.size() + 1};
        options.m_platform = m_api;
        options.m_seeds = m_vms;
        options.m_parser = parserFor(m_clusterSize.m_dataCentreCount);
        if (vm.m_role == VmRole::Endpoint) {
            options.m_announcement =
                ReplicaAnnouncement{EndpointName(vm.m_name.text()), vm.m_dataCentre, vm.m_control,
                                    options.m_incarnation, ReplicaState::Alive};
        }
        m_services.push_back(std::make_unique<MembershipService>(options));
        Failure failure;
        if (!m_services.back()->start(failure)) {
            std::printf("not started: %s\n", failure.m_reason.c_str());
            std::exit(1);
        }
    }

    ClusterSize m_clusterSize;
    SocketAddress m_address = freeLoopbackAddress();
    PlatformStandIn m_platform{m_address};
    std::shared_ptr<ObjectApi> m_api =
        std::make_shared<HttpObjectApi>(std::vector<std::string>{"http://" + m_address.toString()});
    std::vector<Vm> m_vms;
    std::vector<std::unique_ptr<MembershipService>> m_services;
};

struct IdleLoad
{
    Traffic m_perEntry;
    Traffic m_perAgent;
    double m_cpuUsage = 0; // CPU seconds per second, over all services.
    double m_platformCalls = 0;
};

Traffic ratePerNode(const Traffic &before, const Traffic &after, double seconds,
                    std::size_t nodeCount)
{
    const double nodeSeconds = seconds * static_cast<double>(std::max<std::size_t>(1, nodeCount));
    return {(after.m_bytes - before.m_bytes) / nodeSeconds,
            (after.m_messages - before.m_messages) / nodeSeconds};
}

IdleLoad measureIdleLoad(const BenchCluster &cluster, const ClusterSize &clusterSize)
{
    const Traffic entries = cluster.traffic(0, clusterSize.m_entryCount);
    const Traffic agents = cluster.traffic(clusterSize.m_entryCount, cluster.serviceCount());
    const std::uint64_t callCount = cluster.platformCalls();
    const double cpuSecondsBefore = cpuSeconds();
    const TimePoint start = Clock::now();
    std::this_thread::sleep_for(measuringTime);
    const double seconds = secondsSince(start);
    IdleLoad idleLoad;
    idleLoad.m_perEntry = ratePerNode(entries, cluster.traffic(0, clusterSize.m_entryCount),
                                      seconds, clusterSize.m_entryCount);
    idleLoad.m_perAgent =
        ratePerNode(agents, cluster.traffic(clusterSize.m_entryCount, cluster.serviceCount()),
                    seconds, clusterSize.m_agentCount);
    idleLoad.m_cpuUsage = (cpuSeconds() - cpuSecondsBefore) / seconds;
    idleLoad.m_platformCalls = static_cast<double>(cluster.platformCalls() - callCount) / seconds;
    return idleLoad;
}

// Seconds from the operator's call until a change is accepted and until it is in force in every
// service: medians of five changes, and the maximum of the latter.
struct ChangeLatency
{
    double m_acceptedSeconds = 0;
    double m_inForceSeconds = 0;
    double m_maxInForceSeconds = 0;
};

ChangeLatency measureChanges(BenchCluster &cluster, const ClusterSize &clusterSize)
{
    std::vector<double> acceptedSeconds;
    std::vector<double> inForceSeconds;
    for (std::size_t changeNumber = 1; changeNumber <= 5; ++changeNumber) {
        const std::uint64_t base = cluster.entry(0).configuration()->m_version;
        const TimePoint start = Clock::now();
        const ApplyResult result =
            cluster.entry(changeNumber % clusterSize.m_entryCount)
                .apply(base, configurationText(clusterSize, changeNumber),
                       "c" + std::to_string(changeNumber), start + Seconds(20));
        acceptedSeconds.push_back(result.m_outcome == ApplyOutcome::Accepted ? secondsSince(start)
                                                                             : -1);
        cluster.secondsUntilAll(cluster.serviceCount(), [base](const MembershipService &service) {
            const ConfigurationPointer configuration = service.configuration();
            return configuration && configuration->m_version > base;
        });
        inForceSeconds.push_back(secondsSince(start));
    }
    std::sort(acceptedSeconds.begin(), acceptedSeconds.end());
    std::sort(inForceSeconds.begin(), inForceSeconds.end());
    return {acceptedSeconds[2], inForceSeconds[2], inForceSeconds[4]};
}

void measure(const ClusterSize &clusterSize)
{
    BenchCluster cluster(clusterSize);
    const double allCurrentSeconds = cluster.secondsUntilAll(
        cluster.serviceCount(), [](const auto &service) { return service.isCurrent(); });
    std::this_thread::sleep_for(settleTime);
    const IdleLoad idleLoad = measureIdleLoad(cluster, clusterSize);
    const ChangeLatency changes = measureChanges(cluster, clusterSize);
    const std::size_t stoppedIndex = clusterSize.m_entryCount - 1;
    const TimePoint stoppedAt = Clock::now();
    cluster.stopEntry(stoppedIndex);
    cluster.secondsUntilAll(stoppedIndex, [&](const auto &service) {
        const auto entries = service.entries();
        return std::none_of(entries.begin(), entries.end(), [&](const EntryInfo &entry) {
            return entry.m_name.text() == "entry" + std::to_string(stoppedIndex)
                   && entry.m_state == ReplicaState::Alive;
        });
    });
    const double avoidedSeconds = secondsSince(stoppedAt);
    cluster.secondsUntilAll(stoppedIndex, [&](const auto &service) {
        const auto entries = service.entries();
        return std::none_of(entries.begin(), entries.end(), [&](const EntryInfo &entry) {
            return entry.m_name.text() == "entry" + std::to_string(stoppedIndex);
        });
    });
    const double removedSeconds = secondsSince(stoppedAt);
    const double exchanges =
        (idleLoad.m_perEntry.m_messages * static_cast<double>(clusterSize.m_entryCount)
         + idleLoad.m_perAgent.m_messages * static_cast<double>(clusterSize.m_agentCount))
        / 4;
    std::printf("| %zu | %zu | %zu | %zu | %.0f | %.1f | %.0f | %.1f | %.2f | %.0f | %.1f | %.2f "
                "| %.3f | %.3f | %.3f | %.1f | %.1f |\n",
                clusterSize.m_dataCentreCount, clusterSize.m_entryCount, clusterSize.m_agentCount,
                clusterSize.m_textBytes, idleLoad.m_perEntry.m_bytes,
                idleLoad.m_perEntry.m_messages, idleLoad.m_perAgent.m_bytes,
                idleLoad.m_perAgent.m_messages,
                100 * idleLoad.m_cpuUsage / static_cast<double>(cluster.serviceCount()),
                1e6 * idleLoad.m_cpuUsage / exchanges, idleLoad.m_platformCalls, allCurrentSeconds,
                changes.m_acceptedSeconds, changes.m_inForceSeconds, changes.m_maxInForceSeconds,
                avoidedSeconds, removedSeconds);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    std::puts("| data centres | entries | agents | text bytes | B/s an entry | messages/s an entry "
              "| B/s an agent | messages/s an agent | % of a core a node | us of processor an "
              "exchange | platform calls/s | start s | accepted s | in force s | in force worst s "
              "| dead entry avoided s | dead entry removed s |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    const std::vector<ClusterSize> sizes = {{3, 3, 6, 4000},   {3, 9, 18, 4000},
                                            {3, 27, 54, 4000}, {11, 33, 66, 4000},
                                            {3, 3, 60, 4000},  {3, 9, 18, 400000}};
    // Measures the size with the index given on the command line, or all sizes.
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        if (argc < 2 || std::to_string(index) == argv[1])
            measure(sizes[index]);
    }
    return 0;
}
