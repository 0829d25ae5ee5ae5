#pragma once

#include <cstdio>
#include <cstdlib>

namespace Hibiscus::internal {

/** \brief Prints the broken invariant to standard error and stops the process. */
[[noreturn]] inline void invariantViolated(const char *condition, const char *promise,
                                           const char *file, int line)
{
    std::fprintf(stderr, "invariant broken: %s (%s) at %s:%d\n", promise, condition, file, line);
    std::abort();
}

} // namespace Hibiscus::internal

/** \brief Stops the process unless \a condition holds, in every build type. */
#define HIBISCUS_INVARIANT(condition, promise)                                                     \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::Hibiscus::internal::invariantViolated(#condition, promise, __FILE__, __LINE__);      \
    } while (false)
