#pragma once

#include <burdockhead/routing/retryoptions.h>

namespace burdockhead {

// Token bucket that limits retries and hedges to a share of the requests: each request adds a
// fraction of a token, each retry or hedge takes a whole one.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryOptions &options);

    // Records a new request.
    void deposit();

    // Takes a token; returns false if there is none.
    bool withdraw();

    // Returns the number of tokens left.
    double tokens() const { return m_tokens; }

private:
    double m_ratio;
    double m_burst;
    double m_tokens;
};

} // namespace burdockhead
