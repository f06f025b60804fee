#pragma once

namespace burdockhead {

// Each prints one markdown table to the standard output.
void printOverload();
void printRetrySpread();
void printColdStart();
void printDecisionCost();
void printLedger();
void printClaims();

} // namespace burdockhead
