#pragma once

#include <algorithm>

namespace Hibiscus {

/** \brief Lets retries be no more than a share of first attempts, with a small reserve. */
class RetryBudget
{
public:
    explicit RetryBudget(double share) : share(share), tokens(share > 0 ? firstTokens : 0) { }

    // Commands.
    void setShare(double newShare)
    {
        this->share = newShare;
        if (newShare <= 0)
            this->tokens = 0;
    }
    void noteFirstAttempt() { this->tokens = std::min(this->tokens + this->share, maxTokens); }
    void spend() { this->tokens -= 1.0; }

    // Queries.
    bool allowsRetry() const { return this->tokens >= 1.0; }

private:
    static constexpr double firstTokens = 10.0;
    static constexpr double maxTokens = 50.0;

    double share;
    double tokens;
};

} // namespace Hibiscus
