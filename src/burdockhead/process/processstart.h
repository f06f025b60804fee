#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/configuration/configurationparser.h>
#include <burdockhead/membership/membershipoptions.h>
#include <burdockhead/settings/processsettings.h>

#include <cstdint>

namespace burdockhead {

// Returns an incarnation number higher than those of earlier runs of the process: the wall
// clock in microseconds.
Incarnation newIncarnation();

// Returns a seed from the system's entropy source for random number generators.
std::uint64_t systemSeed();

// Returns a parser that validates configurations with parseConfiguration().
ConfigurationParser configurationParser();

// Returns the membership options shared by entries and agents.
MembershipOptions membershipOptions(const ProcessSettings &settings, VmRole role,
                                    Incarnation incarnation);

} // namespace burdockhead
