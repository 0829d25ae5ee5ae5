#include "Hibiscus/src/Telemetry/SpanLog.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace Hibiscus {

namespace internal {

static std::optional<std::uint64_t> hexAt(const std::string &text, std::size_t position)
{
    constexpr std::size_t digits = 16;
    std::uint64_t value = 0;
    const char *begin = text.data() + position;
    const auto parsed = std::from_chars(begin, begin + digits, value, 16);
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == begin + digits;
    return isWhole ? std::optional(value) : std::nullopt;
}

} // namespace internal

std::optional<SpanContext> SpanContext::parse(const std::string &traceparent)
{
    constexpr std::size_t length = 55; // 00-<32 hex digits>-<16 hex digits>-<2 hex digits>
    if (traceparent.size() != length || traceparent.substr(0, 3) != "00-")
        return std::nullopt;
    const auto high = internal::hexAt(traceparent, 3);
    const auto low = internal::hexAt(traceparent, 19);
    const auto span = internal::hexAt(traceparent, 36);
    if (!high || !low || !span)
        return std::nullopt;
    return SpanContext { .traceHigh = *high, .traceLow = *low, .span = *span };
}

std::string SpanContext::traceparent() const
{
    return fmt::format("00-{:016x}{:016x}-{:016x}-01", this->traceHigh, this->traceLow, this->span);
}

SpanLog::SpanLog(std::string node, const std::string &path, std::uint64_t seed)
    : node(std::move(node)), random(seed)
{
    if (!path.empty())
        this->file.open(path, std::ios::app);
}

Span SpanLog::start(std::string name, std::string subject, const std::string &traceparent,
                    TimePoint now)
{
    Span span;
    span.name = std::move(name);
    span.subject = std::move(subject);
    span.startedAt = now;
    const std::optional<SpanContext> parent = SpanContext::parse(traceparent);
    span.context.traceHigh = parent ? parent->traceHigh : this->random();
    span.context.traceLow = parent ? parent->traceLow : this->random();
    span.context.span = this->random();
    span.parent = parent ? parent->span : 0;
    return span;
}

void SpanLog::finish(const Span &span, const std::string &outcome, TimePoint now)
{
    if (!this->file.is_open())
        return;
    nlohmann::ordered_json line;
    line["trace"] = fmt::format("{:016x}{:016x}", span.context.traceHigh, span.context.traceLow);
    line["span"] = fmt::format("{:016x}", span.context.span);
    line["parent"] = fmt::format("{:016x}", span.parent);
    line["node"] = this->node;
    line["name"] = span.name;
    line["subject"] = span.subject;
    line["outcome"] = outcome;
    line["start_us"] = span.startedAt.time_since_epoch().count();
    line["duration_us"] = (now - span.startedAt).count();
    this->file << line.dump() << std::endl;
}

} // namespace Hibiscus
