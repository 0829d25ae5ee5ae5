#pragma once

#include <Hibiscus/Core>

#include <netinet/in.h>
#include <string>

namespace Hibiscus {

/** \brief An IP address and a port. */
struct Address
{
    std::string host;
    std::uint16_t port = 0;

    /** \returns the address written in \a text as `IP:port`, or Errc::InvalidAddress. */
    static Result<Address> parse(const std::string &text);
    sockaddr_in native() const;

    auto operator<=>(const Address &other) const = default;
};

} // namespace Hibiscus
