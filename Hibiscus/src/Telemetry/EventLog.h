#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus {

/** \brief One named value of a log line. */
struct LogField
{
    std::string_view name;
    std::string value;
};

/** \brief Sets up the log of this process: JSON lines on standard error. */
void initializeLog(std::string_view node);

/** \brief Sets up the log of this process: JSON lines on standard output.
 *
 * Lines beyond a rate, and lines that the reader is too slow for, are left out and counted; the
 * process never waits.
 */
void initializeEventLog(std::string_view node);

/** \brief Logs a change of state. What happens often is counted instead; see Metrics. */
void logEvent(std::string_view event, std::initializer_list<LogField> fields = {});

/** \brief Logs what an operator must act on. */
void logError(std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace Hibiscus
