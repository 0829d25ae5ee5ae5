#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace Hibiscus {

/** \brief Number of levels of a document that are kept; those that this system reads have fewer. */
inline constexpr int maxJsonDepth = 16;

/** \returns the document in \a text, without the values nested deeper than maxJsonDepth; discarded
 * if it is no JSON.
 *
 * Copies and comparisons of a document recurse, so its depth must not depend on the sender. A value
 * that is too deep becomes an empty one, so that it does not hide the other entries of its list.
 */
inline nlohmann::json parseJson(const std::string &text)
{
    const auto isKept = [](int depth, nlohmann::json::parse_event_t, const nlohmann::json &) {
        return depth <= maxJsonDepth;
    };
    return nlohmann::json::parse(text, isKept, false);
}

} // namespace Hibiscus
