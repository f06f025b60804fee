#pragma once

#include <burdockhead/configuration/acceptance.h>
#include <burdockhead/membership/membershipnode.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockhead {

// A safeguard disabled on purpose, to show that the checks detect its absence.
enum class DisabledSafeguard {
    None,
    FreshnessCheck, // Processes accept work as soon as they are ready.
    Quorum,         // A change counts as accepted once it is written.
    RequestTime,    // Evidence is dated by its arrival instead of by its request.
    Authority,      // Replies count as authoritative even after a restart or stale period.
};

// A temporary fault.
enum class FaultKind {
    PartitionDataCentre,   // Partitioned from the other data centres; the platform is reachable.
    PartitionFromPlatform, // A data centre cannot reach the platform.
    PartitionFromAll,      // Both of the above.
    PlatformDown,          // For all processes.
    LostWriteResults,      // Writes are applied but their results are lost.
    LossyNetwork,          // A third of exchanges lose a message; many are delayed or doubled.
    PauseProcess,          // Suspended, then resumed with its state unchanged.
    RestartProcess,        // Killed; a new incarnation starts when the fault ends.
    RestartDataCentre,     // Restarts all processes of one data centre.
};
constexpr int faultKindCount = 9;

struct Fault
{
    FaultKind m_kind = FaultKind::PlatformDown;
    std::size_t m_target = 0; // Index of a data centre or process, modulo their number.
    TimePoint m_from;
    TimePoint m_until;
};

// Simulates processes, network and platform in virtual time and checks the guarantees after
// every event.
class SimulatedCluster
{
public:
    // Creates the given number of entries and one agent in each data centre.
    SimulatedCluster(std::size_t dataCentres, std::size_t entriesEach, std::uint64_t seed,
                     DisabledSafeguard disabledSafeguard);

    void addFault(const Fault &fault);
    // Schedules a configuration change by an operator through an entry.
    void scheduleChange(TimePoint at, std::size_t entry);
    void runUntil(TimePoint time);

    TimePoint now() const { return m_now; }
    // Returns the first violation of a guarantee, or an empty string.
    const std::string &violation() const { return m_violation; }
    // Returns true if every process is current with the platform's version.
    bool isConverged() const;
    std::size_t acceptedCount() const { return m_acceptedCount; }
    std::uint64_t platformVersion() const { return m_platformVersion; }

private:
    struct Process
    {
        MemberRecord m_record;
        std::unique_ptr<MembershipNode> m_node;
        bool m_isUp = false;
        bool m_isPaused = false;
        bool m_isWatching = false;
        std::uint64_t m_highestVersion = 0; // Highest version in force in this incarnation.
        std::vector<std::function<void()>> m_onResume;
    };
    struct Change
    {
        std::size_t m_entry = 0;
        Incarnation m_incarnation;
        std::uint64_t m_base = 0;
        std::string m_nonce;
        Acceptance m_acceptance;
        TimePoint m_deadline;
        bool m_isReported = false;
    };

    void schedule(TimePoint at, std::function<void()> action);
    void startProcess(std::size_t index);
    void stopProcess(std::size_t index);
    void tickProcess(std::size_t index, Incarnation incarnation);
    void watchPlatform(std::size_t index);
    void sendPending(std::size_t index);
    void deliver(std::size_t from, const OutgoingMessage &message);
    void deliverReply(std::size_t from, OutgoingMessage message, std::string payload);
    void runInProcess(std::size_t index, Incarnation incarnation, std::function<void()> action);
    Milliseconds latency();
    bool dropsMessage();
    bool areConnected(std::size_t left, std::size_t right) const;
    bool canReachPlatform(std::size_t index) const;
    bool isActiveAt(FaultKind kind, std::size_t target) const;
    bool isActive(FaultKind kind) const;
    std::size_t dataCentreOf(std::size_t index) const;
    void advanceChange(const std::shared_ptr<Change> &change);
    void readConfigurationFor(const std::shared_ptr<Change> &change);
    void writeConfigurationFor(const std::shared_ptr<Change> &change);
    void recordOutcome(Change &change);
    void checkGuarantees();
    void recordViolation(const std::string &what);

    std::size_t m_dataCentreCount;
    DisabledSafeguard m_disabledSafeguard;
    Random m_random;
    TimePoint m_now;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<Process> m_processes;
    std::vector<Vm> m_vms;
    std::vector<Fault> m_faults;
    std::uint64_t m_nextIncarnation = 1;

    std::uint64_t m_platformVersion = 1;
    std::string m_platformValue;
    std::vector<std::string> m_writtenNonces; // In the order of their versions.
    std::map<std::uint64_t, TimePoint> m_acceptedAt;
    std::map<std::uint64_t, std::string> m_acceptedNonces; // By base version.
    std::size_t m_acceptedCount = 0;
    std::string m_violation;
};

} // namespace burdockhead
