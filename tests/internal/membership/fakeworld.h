#pragma once

#include <burdockhead/configuration/acceptance.h>
#include <burdockhead/membership/membershipnode.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdockhead {

// What is left out on purpose, to show that the oracle notices.
enum class Omission {
    None,
    CurrencyCheck, // Processes take work as soon as they are ready.
    Quorum,        // A change counts as accepted once it is written.
    QuestionTime,  // Evidence counts from its arrival and not from when it was asked for.
    Vouching,      // Processes that lapsed or started anew speak for their data centre.
};

// Something that goes wrong for a while.
enum class FaultKind {
    CutDataCentre,     // From the other data centres; the platform still answers.
    CutFromPlatform,   // A data centre loses the platform only.
    CutFromAll,        // Both.
    PlatformDown,      // For everybody.
    LostWriteAnswers,  // Writes are applied and never answered.
    LossyNetwork,      // A third of the messages are lost, many are late or doubled.
    PauseProcess,      // Stopped, and goes on later as if nothing had been.
    RestartProcess,    // Killed; a new incarnation starts when the fault ends.
    RestartDataCentre, // All processes of one data centre.
};
constexpr int faultKindCount = 9;

struct Fault
{
    FaultKind m_kind = FaultKind::PlatformDown;
    std::size_t m_target = 0; // Of data centres or processes, modulo their number.
    TimePoint m_from;
    TimePoint m_until;
};

// Processes, network and platform in virtual time, with the promises checked at every step.
class FakeWorld
{
public:
    // The given number of entries and one agent in each data centre.
    FakeWorld(std::size_t dataCentres, std::size_t entriesEach, std::uint64_t seed,
              Omission omission);

    void add(const Fault &fault);
    // Lets an operator change the configuration through an entry at that time.
    void addChange(TimePoint at, std::size_t entry);
    void runUntil(TimePoint time);

    TimePoint now() const { return m_now; }
    // The first promise broken; empty if none was.
    const std::string &broken() const { return m_broken; }
    // True when every process is current with the platform's version.
    bool isWhole() const;
    std::size_t acceptedCount() const { return m_acceptedCount; }
    std::uint64_t platformVersion() const { return m_platformVersion; }

private:
    struct Process
    {
        MemberRecord m_record;
        std::unique_ptr<MembershipNode> m_node;
        bool m_up = false;
        bool m_paused = false;
        bool m_watching = false;
        std::uint64_t m_highest = 0; // In force in this incarnation.
        std::vector<std::function<void()>> m_onWake;
    };
    struct Change
    {
        std::size_t m_entry = 0;
        Incarnation m_incarnation;
        std::uint64_t m_base = 0;
        std::string m_nonce;
        Acceptance m_acceptance;
        TimePoint m_deadline;
        bool m_reported = false;
    };

    void schedule(TimePoint at, std::function<void()> action);
    void start(std::size_t index);
    void stop(std::size_t index);
    void tickProcess(std::size_t index, Incarnation incarnation);
    void watchPlatform(std::size_t index);
    void sendAll(std::size_t index);
    void deliver(std::size_t from, const OutgoingMessage &message);
    void takeAnswer(std::size_t from, OutgoingMessage message, std::string payload);
    void atProcess(std::size_t index, Incarnation incarnation, std::function<void()> action);
    Milliseconds latency();
    bool lost();
    bool connected(std::size_t left, std::size_t right) const;
    bool reachesPlatform(std::size_t index) const;
    bool active(FaultKind kind, std::size_t target) const;
    bool isActive(FaultKind kind) const;
    std::size_t dataCentreOf(std::size_t index) const;
    void stepChange(const std::shared_ptr<Change> &change);
    void readFor(const std::shared_ptr<Change> &change);
    void writeFor(const std::shared_ptr<Change> &change);
    void report(Change &change);
    void check();
    void fail(const std::string &what);

    std::size_t m_dataCentreCount;
    Omission m_omission;
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
    std::map<std::uint64_t, std::string> m_winners; // By base version.
    std::size_t m_acceptedCount = 0;
    std::string m_broken;
};

} // namespace burdockhead
