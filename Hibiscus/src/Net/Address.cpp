#include "Hibiscus/src/Net/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace Hibiscus {

Result<Address> Address::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return failure(Errc::InvalidAddress);
    Address address;
    address.host = text.substr(0, colon);
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    in_addr ip;
    // inet_pton() reads up to a NUL, whatever follows.
    const bool isIp = address.host.find('\0') == std::string::npos
        && ::inet_pton(AF_INET, address.host.c_str(), &ip) == 1;
    if (!isIp || parsed.ec != std::errc() || parsed.ptr != end)
        return failure(Errc::InvalidAddress);
    return address;
}

sockaddr_in Address::native() const
{
    sockaddr_in native = {};
    native.sin_family = AF_INET;
    native.sin_port = htons(this->port);
    ::inet_pton(AF_INET, this->host.c_str(), &native.sin_addr);
    return native;
}

} // namespace Hibiscus
