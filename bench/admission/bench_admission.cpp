#include "tables.h"

// Prints the tables of BENCHMARKS.md, "Limits and overload".
int main()
{
    burdockhead::printOverload();
    burdockhead::printColdStart();
    burdockhead::printDecisionCost();
    burdockhead::printClaims();
    return 0;
}
