#pragma once

#include <Hibiscus/Core>

#include <string>

namespace Hibiscus {

/** \brief Limits of the time after which callers send refused jobs again. */
struct RetryDelayOptions
{
    Duration shortest = 200ms; ///< time in which targets free capacity once
    Duration longest = 10s; ///< a forecast for later times says nothing
    /** \brief Unit in which callers are told the time; those refused together are spread over it at
     * least, since they would otherwise all be told the same.
     */
    Duration resolution = 1s;

    auto operator<=>(const RetryDelayOptions &other) const = default;
};

/** \returns the time after which \a job may come back if it would be admitted after
 * \a untilAdmission. Jobs that are refused together get different ones, by their ids.
 */
Duration retryDelay(const RetryDelayOptions &options, const std::string &job,
                    Duration untilAdmission);

} // namespace Hibiscus
