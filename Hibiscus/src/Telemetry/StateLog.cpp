#include "Hibiscus/src/Telemetry/StateLog.h"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace Hibiscus {

namespace internal {

static std::string fieldsOf(std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line;
    line["event"] = event;
    for (const LogField &field : fields)
        line[std::string(field.name)] = field.value;
    // The pattern of the logger opens the object, so the first brace is left out here.
    const auto replace = nlohmann::json::error_handler_t::replace;
    return line.dump(-1, ' ', false, replace).substr(1);
}

} // namespace internal

void initializeLog(std::string_view node)
{
    const auto logger = spdlog::stderr_logger_mt("state");
    logger->set_pattern(
        std::string("{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",\"level\":\"%l\",\"node\":\"")
            + std::string(node) + "\",%v",
        spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

void logChange(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::info(internal::fieldsOf(event, fields));
}

void logProblem(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::error(internal::fieldsOf(event, fields));
}

} // namespace Hibiscus
