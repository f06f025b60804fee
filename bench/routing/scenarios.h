#pragma once

namespace burdockhead {

// Each runs one scenario with the given number of seeds and prints its table.
void measureChoice(unsigned runs);
void measureRetries(unsigned runs);
void measureHedges(unsigned runs);
void measureDataCentres(unsigned runs);
void measureCost();

} // namespace burdockhead
