#pragma once

#include <Hibiscus/Core>

#include <cstdint>
#include <fstream>
#include <random>
#include <string>

namespace Hibiscus {

/** \brief Ids of a trace and a span, passed between processes as a W3C traceparent header. */
struct SpanContext
{
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;

    /** \returns the context in the header \a traceparent, or nothing if it is malformed. */
    static std::optional<SpanContext> parse(const std::string &traceparent);
    std::string traceparent() const;

    auto operator<=>(const SpanContext &other) const = default;
};

/** \brief Span of a trace: one step of a job in one process. */
struct Span
{
    SpanContext context;
    std::uint64_t parent = 0; ///< id of the parent span; 0 for the first span of a trace
    std::string name;
    std::string subject; ///< id of the job, attempt or other object of the step
    TimePoint startedAt;
};

/** \brief Writes the spans of a process as JSON lines. */
class SpanLog
{
public:
    /** \brief Appends the spans to the file \a path; with an empty path they are discarded. */
    SpanLog(std::string node, const std::string &path, std::uint64_t seed);

    // Commands.
    /** \brief Starts a child span of \a traceparent, or a new trace if that is malformed. */
    Span start(std::string name, std::string subject, const std::string &traceparent,
               TimePoint now);
    void finish(const Span &span, const std::string &outcome, TimePoint now);

private:
    std::string node;
    std::ofstream file;
    std::mt19937_64 random;
};

} // namespace Hibiscus
