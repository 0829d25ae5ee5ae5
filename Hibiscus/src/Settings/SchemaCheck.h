#pragma once

#include "Hibiscus/src/Settings/Deployment.h"

#include <nlohmann/json.hpp>

namespace Hibiscus::internal {

/** \returns everything in \a document that the JSON schema \a schemaText does not allow. */
std::vector<SettingsError> checkSchema(const char *schemaText, const nlohmann::json &document);

} // namespace Hibiscus::internal
