#include "Hibiscus/src/Settings/SchemaCheck.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace Hibiscus::internal {

/** \returns the JSON pointer to an error, whose location the validator gives as `<root>[key][0]`.
 */
static std::string pointerOf(const std::vector<std::string> &context)
{
    std::string pointer;
    for (std::string part : context) {
        if (part == "<root>")
            continue;
        std::erase_if(part, [](char c) { return c == '[' || c == ']' || c == '"'; });
        pointer += "/" + part;
    }
    return pointer.empty() ? "/" : pointer;
}

std::vector<SettingsError> checkSchema(const char *schemaText, const nlohmann::json &document)
{
    const nlohmann::json schemaDocument = nlohmann::json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    const valijson::adapters::NlohmannJsonAdapter schemaAdapter(schemaDocument);
    parser.populateSchema(schemaAdapter, schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    const valijson::adapters::NlohmannJsonAdapter adapter(document);
    std::vector<SettingsError> errors;
    if (validator.validate(schema, adapter, &results))
        return errors;
    valijson::ValidationResults::Error error;
    while (results.popError(error))
        errors.push_back({ .path = pointerOf(error.context), .reason = error.description });
    // The validator reports the cause first and then each level that contains it.
    return errors;
}

} // namespace Hibiscus::internal
