#pragma once

namespace burdockhead {

// Each prints one markdown table to the standard output.
void printOverload();
void printColdStart();
void printDecisionCost();
void printClaims();

} // namespace burdockhead
