#include "Hibiscus/src/Telemetry/EventLog.h"

#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace Hibiscus {

namespace internal {

static std::string renderFields(std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line;
    line["event"] = event;
    for (const LogField &field : fields)
        line[std::string(field.name)] = field.value;
    // The logger's pattern writes the opening brace, so it is omitted here.
    const auto replace = nlohmann::json::error_handler_t::replace;
    return line.dump(-1, ' ', false, replace).substr(1);
}

/** \brief Writes lines to standard output without blocking, up to a rate limit; counts the dropped
 * lines.
 */
class BoundedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        this->refill(message.time);
        if (this->budget < 1 || !canWrite()) {
            ++this->droppedLines;
            return;
        }
        this->budget -= 1;
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        if (this->droppedLines > 0) {
            const std::string count
                = ",\"lines_left_out\":" + std::to_string(this->droppedLines) + "}\n";
            line.resize(line.size() - 2);
            line.append(count.data(), count.data() + count.size());
            this->droppedLines = 0;
        }
        const bool isWritten
            = ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
        if (!isWritten)
            ++this->droppedLines;
    }

    void flush_() override { }

private:
    static constexpr double linesPerSecond = 400; ///< over twice the event rate of a busy node
    static constexpr double maxBudget = 1200; ///< lines; allows a burst of three seconds

    void refill(spdlog::log_clock::time_point time)
    {
        const std::chrono::duration<double> passed = time - this->refilledAt;
        this->budget = std::min(maxBudget, this->budget + passed.count() * linesPerSecond);
        this->refilledAt = time;
    }

    // poll() reports a pipe as writable when a whole page fits, which is longer than a line.
    static bool canWrite()
    {
        pollfd output = { .fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0 };
        return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }

    double budget = maxBudget; ///< lines that may be written now
    spdlog::log_clock::time_point refilledAt;
    std::uint64_t droppedLines = 0; ///< since the last written line
};

/** \brief Makes \a logger the default logger of this process. */
static void useLogger(const std::shared_ptr<spdlog::logger> &logger, std::string_view node)
{
    logger->set_pattern(
        std::string("{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",\"level\":\"%l\",\"node\":\"")
            + std::string(node) + "\",%v",
        spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(logger);
}

} // namespace internal

void initializeEventLog(std::string_view node)
{
    internal::useLogger(
        std::make_shared<spdlog::logger>("events", std::make_shared<internal::BoundedSink>()),
        node);
}

void initializeLog(std::string_view node)
{
    const auto logger = spdlog::stderr_logger_mt("state");
    logger->flush_on(spdlog::level::info);
    internal::useLogger(logger, node);
}

void logEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::info(internal::renderFields(event, fields));
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    spdlog::error(internal::renderFields(event, fields));
}

} // namespace Hibiscus
