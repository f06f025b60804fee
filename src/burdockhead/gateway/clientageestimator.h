#pragma once

#include <burdockhead/base/timepoint.h>

#include <cstddef>
#include <string>
#include <unordered_map>

namespace burdockhead {

// For how long clients have been trying when their request comes, judged from the time that they
// have left: a client that was refused and comes back tells what is left of its deadline. Answers
// the load pattern of an outage, after which those who come back meet those who come first.
class ClientAgeEstimator
{
public:
    // The age of a request with this time left, against the longest that a client of the route
    // has had.
    Milliseconds estimateAge(const std::string &route, Milliseconds timeLeft);

private:
    std::unordered_map<std::string, Milliseconds> m_maxRemainingTimes; // By route.
};

} // namespace burdockhead
