#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace Hibiscus {

/** \brief Number of levels of a document that are kept; those that this system reads have fewer. */
inline constexpr std::size_t maxJsonDepth = 16;
/** \brief Number of values of a document that this system reads. A configuration of the largest
 * size has fewer, since its names and values are several bytes long.
 */
inline constexpr std::size_t maxJsonValues = 300'000;

/** \returns the document in \a text, without the values nested deeper than maxJsonDepth; discarded
 * if it is no JSON, or has more than maxJsonValues.
 *
 * Copies and comparisons of a document recurse, so its depth must not depend on the sender. A value
 * that is too deep becomes an empty one, so that it does not hide the other entries of its list.
 * A value takes many times the memory of its text, if that has two or three bytes.
 */
nlohmann::json parseJson(const std::string &text);

} // namespace Hibiscus
