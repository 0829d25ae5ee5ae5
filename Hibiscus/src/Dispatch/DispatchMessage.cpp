#include "Hibiscus/src/Dispatch/DispatchMessage.h"

#include <charconv>

namespace Hibiscus {

namespace internal {

template<typename Number>
static bool parseNumber(std::string_view text, Number &number)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end;
}

/** \brief Removes and returns the part of \a text after the last \a separator. */
static std::string_view takeLast(std::string_view &text, char separator)
{
    const std::size_t position = text.rfind(separator);
    if (position == std::string_view::npos)
        return {};
    const std::string_view last = text.substr(position + 1);
    text = text.substr(0, position);
    return last;
}

} // namespace internal

std::string AttemptId::str() const
{
    return this->job.str() + "~" + std::to_string(this->task) + "~" + std::to_string(this->ordinal)
        + "~" + std::to_string(this->incarnation);
}

Result<AttemptId> AttemptId::parse(std::string_view text)
{
    AttemptId id;
    const std::string_view incarnation = internal::takeLast(text, '~');
    const std::string_view ordinal = internal::takeLast(text, '~');
    const std::string_view task = internal::takeLast(text, '~');
    const Result<JobId> job = JobId::parse(text);
    const bool numbersAreValid = internal::parseNumber(incarnation, id.incarnation)
        && internal::parseNumber(ordinal, id.ordinal) && internal::parseNumber(task, id.task);
    if (!job || !numbersAreValid)
        return failure(Errc::MalformedMessage);
    id.job = *job;
    return id;
}

} // namespace Hibiscus
