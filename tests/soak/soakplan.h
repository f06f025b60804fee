#pragma once

#include <burdockhead/base/random.h>
#include <burdockhead/base/timepoint.h>

#include <string>
#include <vector>

namespace burdockhead::test {

// What happens in a soak. Each lasts for its time and is undone then.
enum class FaultType {
    KillGateway,
    StopGateway,  // SIGTERM; it starts again when it has ended.
    PauseGateway, // SIGSTOP, then SIGCONT.
    ReloadGateway,
    SilenceStore,
    RefuseStore,
    ForgetStore,
    CutStore, // The proxies before the store drop everything, or answers only.
    EndpointMisbehaves,
    SilenceEndpoint,
    DropAnswers,
    ResetEndpoint,
    ReplaceEndpoint, // Another endpoint has its address.
    LeaveEndpoint,
    TakeOut, // Its data centre.
    ChangeConfiguration,
    RevokeCredential,
    KillRankAgent,
    StopRankAgent,
    PauseRankAgent,
    LoseOrders, // A part of the orders to ranks: never carried out, late, or twice.
    DelayOrders,
    DoubleOrders,
    ShiftDemand, // For experts; it isn't undone.
    KillEntry,
    StopEntry,
    PauseEntry,
    KillEndpointAgent,
    StopEndpointAgent,
    PauseEndpointAgent,
    StopPlatform, // It refuses all calls.
    LosePlatformAnswers,
    RestorePlatform, // It comes back from a copy taken when the fault began.
    TurnCold,        // An engine.
    SlowService,
    LoseServiceAnswer,
};

const char *toString(FaultType type);

// Returns the types from the first to the last.
std::vector<FaultType> faultTypes(FaultType first, FaultType last);

// One fault: when it begins and ends, from the start of the soak, and on which of the things
// that fit.
struct Fault
{
    FaultType m_type = FaultType::KillGateway;
    Milliseconds m_at{0};
    Milliseconds m_for{0};
    unsigned m_which = 0;

    std::string toString() const;
};

// The faults of a seed, in the order of their begin; they come in series and overlap. None
// begins in the last `calm` of the span.
std::vector<Fault> planSoak(std::uint64_t seed, const std::vector<FaultType> &types,
                            Milliseconds span, Milliseconds calm);

// Returns a plan in which an agent that coordinates a group, or would, ends or stands still at each
// change of the group's map: the demand shifts each time.
std::vector<Fault> planTakeovers(std::uint64_t seed, Milliseconds span, Milliseconds calm);

} // namespace burdockhead::test
