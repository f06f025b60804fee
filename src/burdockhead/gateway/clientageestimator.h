#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <string>
#include <unordered_map>

namespace burdockhead {

// Estimates for how long a client has been trying when its request arrives, from the time that
// remains until its deadline: a refused client that retries reports less. After an outage, retrying
// clients compete with new ones, and their requests have to be told apart.
class ClientAgeEstimator
{
public:
    // Returns the age of a request: the longest remaining time seen on its route less its own.
    Milliseconds estimateAge(const std::string &route, Milliseconds remainingTime);

private:
    std::unordered_map<std::string, Milliseconds> m_maxRemainingTimes; // By route.
};

} // namespace burdockhead
