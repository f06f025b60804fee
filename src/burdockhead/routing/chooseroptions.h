#pragma once

#include <burdockhead/base/timepoint.h>

namespace burdockhead {

// Weights of the replica choosers.
struct ChooserOptions
{
    unsigned m_sampleCount = 3;     // Replicas drawn at random per decision.
    unsigned m_ringCandidates = 2;  // Replicas taken from the consistent-hash ring per group.
    double m_prefixSaving = 0.5;    // Share of the service time that a cached prefix saves.
    double m_adapterLoadCost = 1.0; // Penalty for a missing adapter, in average service times.
    double m_errorCost = 4.0;       // Penalty at an error rate of 1, in average service times.
    double m_suspectCost = 2.0;     // Penalty for a suspected replica, in average service times.
    Milliseconds m_reportHalfLife{100};     // Age at which a load report has half its weight.
    Milliseconds m_fullReportLifetime{250}; // How long a report can mark a replica as full.
};

} // namespace burdockhead
