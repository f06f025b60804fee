#pragma once

#include <burdockhead/base/timepoint.h>

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace burdockhead {

// Estimates for how long a client has been trying when its request arrives, from the time that
// remains until its deadline: a refused client that retries reports less. After an outage, retrying
// clients compete with new ones, and their requests have to be told apart.
//
// Clients differ in their patience, so the remaining times of first attempts are spread. The spread
// is learned over all routes, as fractions of each route's longest remaining time: first attempts
// fill the fractions from 1 downwards densely, retries are scattered below them.
class ClientAgeEstimator
{
public:
    ClientAgeEstimator();

    // Returns the least age of a request: zero if its remaining time is one that first attempts
    // on its route have.
    Milliseconds estimateAge(const std::string &route, Milliseconds remainingTime);

private:
    static constexpr std::size_t binCount = 20;

    void record(double fraction);
    double shortestFirstAttempt() const;

    std::unordered_map<std::string, Milliseconds> m_maxRemainingTimes; // By route.
    std::array<double, binCount> m_bins{}; // Recent requests by fraction of the longest time.
};

} // namespace burdockhead
