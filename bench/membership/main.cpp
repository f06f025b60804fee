// Measures membership and configuration at growing sizes: many services in this process,
// each on a control port of its own, with the platform's stand-in. Prints one table.
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

constexpr Seconds measuredTime(10);
constexpr Seconds settleTime(25);
constexpr Seconds patience(20);

struct Size
{
    std::size_t m_dataCentres;
    std::size_t m_entries;
    std::size_t m_agents;
    std::size_t m_textBytes; // Of the configuration.
};

std::string configurationText(const Size &size, std::size_t change)
{
    std::string text = "change " + std::to_string(change) + "\n";
    text.resize(std::max(text.size(), size.m_textBytes), 'x');
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

// Below the range from which the system takes ports for outgoing connections.
SocketAddress controlAddress(std::size_t index)
{
    constexpr std::uint16_t firstPort = 21000;
    return {"127.0.0.1", static_cast<std::uint16_t>(firstPort + index)};
}

double processorSeconds()
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

// All processes of one size.
class Fleet
{
public:
    explicit Fleet(const Size &size)
        : m_size(size)
    {
        m_platform.start();
        m_api->write({"configuration", "current", 0, configurationText(size, 0)},
                     Clock::now() + Seconds(5));
        for (std::size_t index = 0; index < size.m_entries + size.m_agents; ++index) {
            const bool entry = index < size.m_entries;
            m_vms.push_back({ProcessName((entry ? "entry" : "agent") + std::to_string(index)),
                             entry ? VmRole::Entry : VmRole::Endpoint,
                             DataCentreName("dc" + std::to_string(index % size.m_dataCentres)),
                             controlAddress(index), false});
        }
        for (const Vm &vm : m_vms)
            start(vm);
    }

    std::size_t size() const { return m_services.size(); }
    MembershipService &entry(std::size_t index) { return *m_services[index]; }
    void stopEntry(std::size_t index) { m_services[index]->stop(); }

    // How long until the condition holds for all services but one; below 0 if it never does.
    template <typename Condition>
    double timeUntilAll(std::size_t except, Condition condition)
    {
        const TimePoint start = Clock::now();
        while (Clock::now() < start + patience) {
            bool all = true;
            for (std::size_t index = 0; index < m_services.size() && all; ++index)
                all = index == except || condition(*m_services[index]);
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
        std::uint64_t calls = 0;
        for (const auto &service : m_services)
            calls += service->counters().m_platformCalls;
        return calls;
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
        options.m_parser = parserFor(m_size.m_dataCentres);
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

    Size m_size;
    SocketAddress m_address = freeLoopbackAddress();
    PlatformStandIn m_platform{m_address};
    std::shared_ptr<ObjectApi> m_api =
        std::make_shared<HttpObjectApi>(std::vector<std::string>{"http://" + m_address.toString()});
    std::vector<Vm> m_vms;
    std::vector<std::unique_ptr<MembershipService>> m_services;
};

struct Idle
{
    Traffic m_perEntry;
    Traffic m_perAgent;
    double m_processor = 0; // Seconds of processor time a second, over all processes.
    double m_platformCalls = 0;
};

Traffic rate(const Traffic &before, const Traffic &after, double seconds, std::size_t nodes)
{
    const double share = seconds * static_cast<double>(std::max<std::size_t>(1, nodes));
    return {(after.m_bytes - before.m_bytes) / share,
            (after.m_messages - before.m_messages) / share};
}

Idle measureIdle(const Fleet &fleet, const Size &size)
{
    const Traffic entries = fleet.traffic(0, size.m_entries);
    const Traffic agents = fleet.traffic(size.m_entries, fleet.size());
    const std::uint64_t calls = fleet.platformCalls();
    const double processor = processorSeconds();
    const TimePoint start = Clock::now();
    std::this_thread::sleep_for(measuredTime);
    const double seconds = secondsSince(start);
    Idle idle;
    idle.m_perEntry = rate(entries, fleet.traffic(0, size.m_entries), seconds, size.m_entries);
    idle.m_perAgent =
        rate(agents, fleet.traffic(size.m_entries, fleet.size()), seconds, size.m_agents);
    idle.m_processor = (processorSeconds() - processor) / seconds;
    idle.m_platformCalls = static_cast<double>(fleet.platformCalls() - calls) / seconds;
    return idle;
}

// The middle of several changes: until accepted, and until in force everywhere, both from
// the operator's call, and the bytes an entry moved for one change beyond its idle traffic.
struct ChangeTimes
{
    double m_accepted = 0;
    double m_inForce = 0;
    double m_inForceWorst = 0;
};

ChangeTimes measureChanges(Fleet &fleet, const Size &size)
{
    std::vector<double> accepted;
    std::vector<double> inForce;
    for (std::size_t change = 1; change <= 5; ++change) {
        const std::uint64_t base = fleet.entry(0).configuration()->m_version;
        const TimePoint start = Clock::now();
        const ApplyResult result = fleet.entry(change % size.m_entries)
                                       .apply(base, configurationText(size, change),
                                              "c" + std::to_string(change), start + Seconds(20));
        accepted.push_back(result.m_outcome == ApplyOutcome::Accepted ? secondsSince(start) : -1);
        fleet.timeUntilAll(fleet.size(), [base](const MembershipService &service) {
            const ConfigurationPointer inForce = service.configuration();
            return inForce && inForce->m_version > base;
        });
        inForce.push_back(secondsSince(start));
    }
    std::sort(accepted.begin(), accepted.end());
    std::sort(inForce.begin(), inForce.end());
    return {accepted[2], inForce[2], inForce[4]};
}

void measure(const Size &size)
{
    Fleet fleet(size);
    const double whole =
        fleet.timeUntilAll(fleet.size(), [](const auto &service) { return service.isCurrent(); });
    std::this_thread::sleep_for(settleTime);
    const Idle idle = measureIdle(fleet, size);
    const ChangeTimes changes = measureChanges(fleet, size);
    const std::size_t stopped = size.m_entries - 1;
    const TimePoint stoppedAt = Clock::now();
    fleet.stopEntry(stopped);
    fleet.timeUntilAll(stopped, [&](const auto &service) {
        const auto entries = service.entries();
        return std::none_of(entries.begin(), entries.end(), [&](const EntryInfo &entry) {
            return entry.m_name.text() == "entry" + std::to_string(stopped)
                   && entry.m_state == ReplicaState::Alive;
        });
    });
    const double suspected = secondsSince(stoppedAt);
    fleet.timeUntilAll(stopped, [&](const auto &service) {
        const auto entries = service.entries();
        return std::none_of(entries.begin(), entries.end(), [&](const EntryInfo &entry) {
            return entry.m_name.text() == "entry" + std::to_string(stopped);
        });
    });
    const double dead = secondsSince(stoppedAt);
    const double exchanges = (idle.m_perEntry.m_messages * static_cast<double>(size.m_entries)
                              + idle.m_perAgent.m_messages * static_cast<double>(size.m_agents))
                             / 4;
    std::printf("| %zu | %zu | %zu | %zu | %.0f | %.1f | %.0f | %.1f | %.2f | %.0f | %.1f | %.2f "
                "| %.3f | %.3f | %.3f | %.1f | %.1f |\n",
                size.m_dataCentres, size.m_entries, size.m_agents, size.m_textBytes,
                idle.m_perEntry.m_bytes, idle.m_perEntry.m_messages, idle.m_perAgent.m_bytes,
                idle.m_perAgent.m_messages,
                100 * idle.m_processor / static_cast<double>(fleet.size()),
                1e6 * idle.m_processor / exchanges, idle.m_platformCalls, whole, changes.m_accepted,
                changes.m_inForce, changes.m_inForceWorst, suspected, dead);
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
    const std::vector<Size> sizes = {{3, 3, 6, 4000},    {3, 9, 18, 4000}, {3, 27, 54, 4000},
                                     {11, 33, 66, 4000}, {3, 3, 60, 4000}, {3, 9, 18, 400000}};
    // One size by its number, or all.
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        if (argc < 2 || std::to_string(index) == argv[1])
            measure(sizes[index]);
    }
    return 0;
}
