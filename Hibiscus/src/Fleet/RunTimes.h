#pragma once

#include <Hibiscus/Core>

#include <map>
#include <string>

namespace Hibiscus {

/** \brief How run times compare to their estimates, learned for each kind of target. */
class RunTimes
{
public:
    // Commands.
    /** \brief Learns from a run on a target of \a kind that was estimated to take \a estimate. */
    void learn(const std::string &kind, Duration estimate, Duration taken);

    // Queries.
    /** \returns the expected run time over the estimate, on a target of \a kind. */
    double slowness(const std::string &kind) const;
    /** \returns the expected run time on a target of \a kind. */
    Duration expected(const std::string &kind, Duration estimate) const;

private:
    struct Learned
    {
        double logFactor = 0; ///< natural logarithm of taken / estimate
        std::uint64_t runs = 0;
    };

    std::map<std::string, Learned> kinds;
};

} // namespace Hibiscus
