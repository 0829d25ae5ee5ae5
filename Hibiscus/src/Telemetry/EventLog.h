#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus {

/** \brief Named value in a log line. */
struct LogField
{
    std::string_view name;
    std::string value;
};

/** \brief Sets up the log of this process: JSON lines on standard error. */
void initializeLog(std::string_view node);

/** \brief Sets up the log of this process: JSON lines on standard output.
 *
 * Lines above a rate limit, and lines that the reader of standard output is too slow for, are
 * dropped and counted; logging never blocks the process.
 */
void initializeEventLog(std::string_view node);

/** \brief Logs a change of state. Frequent events are counted instead; see Metrics. */
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});

/** \brief Logs an error that an operator must act on. */
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Hibiscus
