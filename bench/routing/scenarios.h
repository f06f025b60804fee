#pragma once

namespace burdockhead {

// Each measures one matter with that many seeds and prints its table.
void measureChoice(unsigned runs);
void measureRetries(unsigned runs);
void measureHedges(unsigned runs);
void measureDataCentres(unsigned runs);
void measureCost();

} // namespace burdockhead
