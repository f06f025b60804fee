#include "tables.h"

// Prints the tables of BENCHMARKS.md, "Limits and overload".
int main()
{
    burdockhead::printOverload();
    burdockhead::printRetrySpread();
    burdockhead::printColdStart();
    burdockhead::printDecisionCost();
    burdockhead::printLedger();
    burdockhead::printClaims();
    return 0;
}
