#pragma once

#include <burdockhead/routing/retryoptions.h>

namespace burdockhead {

// A token bucket that bounds further attempts to a share of the requests: each request
// earns a part of a token, each retry or hedge takes a whole one.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryOptions &options);

    // Notes a new request.
    void deposit();

    // Takes a token; false when there is none.
    bool withdraw();

    // Tokens left.
    double tokens() const { return m_tokens; }

private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

} // namespace burdockhead
