#pragma once

#include <burdockhead/base/incarnation.h>
#include <burdockhead/configuration/configurationparser.h>
#include <burdockhead/membership/membershipoptions.h>
#include <burdockhead/settings/processsettings.h>

#include <cstdint>

namespace burdockhead {

// A number for this run of a process that is higher than that of any run before: the wall
// clock in microseconds.
Incarnation newIncarnation();

// A seed for the process's generators.
std::uint64_t systemSeed();

// Reads configurations with the checks of the settings folder.
ConfigurationParser configurationParser();

// The part of the membership options that entries and agents have in common.
MembershipOptions membershipOptions(const ProcessSettings &settings, VmRole role,
                                    Incarnation incarnation);

} // namespace burdockhead
