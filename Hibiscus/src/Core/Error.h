#pragma once

#include <system_error>
#include <tl/expected.hpp>

namespace Hibiscus {

/** \brief Error codes of this library, reported as values instead of exceptions. */
enum class Errc {
    MalformedJobId = 1,
    MalformedMessage,
    MalformedRecord,
    Io,
    InvalidSettings,
    InvalidRules,
    Unreachable,
    InvalidAddress
};

/** \returns the category of Errc values. */
const std::error_category &errorCategory();

/** \returns \a code as a std::error_code of errorCategory(). */
std::error_code make_error_code(Errc code);

/** \brief A value, or the std::error_code of the failure. */
template<typename Value>
using Result = tl::expected<Value, std::error_code>;

/** \returns the failed Result for \a code. */
inline tl::unexpected<std::error_code> failure(Errc code)
{
    return tl::unexpected<std::error_code>(make_error_code(code));
}

} // namespace Hibiscus

template<>
struct std::is_error_code_enum<Hibiscus::Errc> : std::true_type
{ };
