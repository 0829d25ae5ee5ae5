#pragma once

#include <algorithm>

namespace Hibiscus {

/** \brief Lets retries be no more than a share of first attempts, with a small reserve. */
class RetryBudget
{
public:
    explicit RetryBudget(double share) : share(share) { }

    // Commands.
    void setShare(double newShare) { this->share = newShare; }
    void noteFirstAttempt() { this->tokens = std::min(this->tokens + this->share, mostTokens); }
    void spend() { this->tokens -= 1.0; }

    // Queries.
    bool allowsRetry() const { return this->tokens >= 1.0; }

private:
    static constexpr double mostTokens = 50.0;

    double share;
    double tokens = 10.0;
};

} // namespace Hibiscus
