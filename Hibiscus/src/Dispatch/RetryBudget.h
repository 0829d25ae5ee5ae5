#pragma once

#include <algorithm>

namespace Hibiscus {

/** \brief Limits retries to a share of the first attempts, with a small initial reserve. */
class RetryBudget
{
public:
    explicit RetryBudget(double share) : share(share), tokens(share > 0 ? initialTokens : 0) { }

    // Commands.
    void setShare(double newShare)
    {
        this->share = newShare;
        if (newShare <= 0)
            this->tokens = 0;
    }
    void recordFirstAttempt() { this->tokens = std::min(this->tokens + this->share, maxTokens); }
    void spendRetry() { this->tokens -= 1.0; }

    // Queries.
    bool allowsRetry() const { return this->tokens >= 1.0; }

private:
    static constexpr double initialTokens = 10.0;
    static constexpr double maxTokens = 50.0;

    double share;
    double tokens;
};

} // namespace Hibiscus
