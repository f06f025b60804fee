#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// What a chooser weighs against what.
struct ChooserOptions
{
    unsigned m_samples = 3;             // Replicas drawn at random for a decision.
    unsigned m_homes = 2;               // Replicas tried from the prefix's place on the ring.
    double m_prefixSaving = 0.5;        // Share of a request's time that a cached prefix saves.
    double m_adapterCost = 1.0;         // Loading an adapter, in mean request times.
    double m_errorCost = 4.0;           // A failed attempt, in mean request times.
    double m_suspectCost = 2.0;         // A suspected replica, in mean request times.
    Milliseconds m_reportHalfLife{100}; // Age at which a report counts half.
    Milliseconds m_fullLifetime{250};   // How long a report that says "full" holds.
};

} // namespace burdockhead
