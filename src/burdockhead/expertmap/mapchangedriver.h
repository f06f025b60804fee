#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>
#include <burdockhead/expertmap/expertmap.h>
#include <burdockhead/expertmap/gatemessage.h>
#include <burdockhead/expertmap/rankmessage.h>
#include <burdockhead/expertmap/votetally.h>

#include <optional>
#include <vector>

namespace burdockhead {

// How a driver paces a change.
struct DriverOptions
{
    std::uint64_t m_marginSteps = 200; // From asking for promises to the new map's first step.
    Milliseconds m_voteTime{300};      // Afterwards ranks that have not voted refuse.
    Milliseconds m_backoff{200};       // Mean wait before another attempt.
};

// Where a change stands.
enum class DriverState {
    Asking,     // For the ranks' map versions.
    Staging,    // Until every rank has loaded the new map's experts.
    Timing,     // Asks for the ranks' steps, to choose the first step of the new map.
    Preparing,  // Collects the votes.
    Telling,    // Tells the ranks the verdict.
    BackingOff, // Until another attempt.
    Live,       // The map goes live, or is live already. An end.
    Superseded, // Another map or a higher fencing number came first. An end.
};

// Drives one change of a group's expert map. Any process can run it, and it may stop at any
// point: the ranks work out the verdict without it. Not thread-safe.
class MapChangeDriver
{
public:
    // The fencing number comes from the platform and is used by no other driver. The map's
    // own version is ignored; it gets the one after the version that the ranks tell.
    MapChangeDriver(std::uint64_t fence, std::uint32_t rankCount, ExpertMap map,
                    const DriverOptions &options);

    // To be called a few times a second: what to send now. What gets no answer is sent again.
    std::vector<RankMessage> tick(TimePoint now, Random &random);

    // Takes a rank's answer.
    void note(const GateMessage &message, TimePoint now);

    DriverState state() const { return m_state; }

    // Attempts made so far.
    std::uint64_t attempts() const { return m_id.m_attempt; }

private:
    using Messages = std::vector<RankMessage>;
    using Phase = Messages (MapChangeDriver::*)(TimePoint now, Random &random);

    Messages ask(TimePoint now, Random &random);
    Messages stage(TimePoint now, Random &random);
    Messages time(TimePoint now, Random &random);
    Messages prepare(TimePoint now, Random &random);
    Messages tell(TimePoint now, Random &random);
    Messages backOff(TimePoint now, Random &random);
    Messages rest(TimePoint now, Random &random);

    void noteState(const RankState &state);
    bool allKnown() const;
    bool isSuperseded() const;
    Messages askMissing() const;
    Messages toAll(const GateMessage &message) const;

    std::uint32_t m_rankCount;
    ExpertMap m_map;
    std::string m_encodedMap;
    DriverOptions m_options;
    DriverState m_state = DriverState::Asking;
    ChangeId m_id;
    std::vector<std::optional<RankState>> m_rankStates;
    std::vector<bool> m_staged;
    VoteTally m_tally;
    TimePoint m_voteDeadline;
    TimePoint m_resumeAt;
};

} // namespace burdockhead
