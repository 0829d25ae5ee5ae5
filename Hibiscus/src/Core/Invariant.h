#pragma once

#include <cstdio>
#include <cstdlib>

namespace Hibiscus::internal {

/** \brief Prints the violated invariant to standard error and aborts the process. */
[[noreturn]] inline void invariantViolated(const char *condition, const char *description,
                                           const char *file, int line)
{
    std::fprintf(stderr, "invariant violated: %s (%s) at %s:%d\n", description, condition, file,
                 line);
    std::abort();
}

} // namespace Hibiscus::internal

/** \brief Aborts the process unless \a condition holds, in every build type. */
#define HIBISCUS_INVARIANT(condition, description)                                                 \
    do {                                                                                           \
        if (!(condition))                                                                          \
            ::Hibiscus::internal::invariantViolated(#condition, description, __FILE__, __LINE__);  \
    } while (false)
