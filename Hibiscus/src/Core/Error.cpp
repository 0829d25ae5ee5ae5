#include "Hibiscus/src/Core/Error.h"

#include <string>

namespace Hibiscus {

namespace internal {

class ErrorCategory : public std::error_category
{
public:
    const char *name() const noexcept override { return "hibiscus"; }

    std::string message(int value) const override
    {
        switch (static_cast<Errc>(value)) {
        case Errc::MalformedJobId:
            return "malformed job id";
        case Errc::MalformedMessage:
            return "malformed message";
        case Errc::MalformedRecord:
            return "malformed record";
        case Errc::Io:
            return "input or output failed";
        case Errc::InvalidSettings:
            return "invalid settings";
        case Errc::InvalidRules:
            return "invalid rules";
        case Errc::Unreachable:
            return "unreachable";
        case Errc::InvalidAddress:
            return "invalid address";
        }
        return "unknown error";
    }
};

} // namespace internal

const std::error_category &errorCategory()
{
    static const internal::ErrorCategory category;
    return category;
}

std::error_code make_error_code(Errc code)
{
    return { static_cast<int>(code), errorCategory() };
}

} // namespace Hibiscus
