#pragma once

namespace burdockhead {

// Each function prints one Markdown table to the standard output.
void printOverload();
void printRetrySpread();
void printColdStart();
void printDecisionCost();
void printLedger();
void printClaims();

} // namespace burdockhead
