#pragma once

#include "Hibiscus/src/Settings/Deployment.h"

#include <nlohmann/json.hpp>

namespace Hibiscus::internal {

/** \returns every violation of the JSON schema \a schemaText in \a document. */
std::vector<SettingsError> checkSchema(const char *schemaText, const nlohmann::json &document);

} // namespace Hibiscus::internal
