#pragma once

#include <Hibiscus/Net>

#include <unistd.h>

namespace Hibiscus {

/** \returns an address of the loopback network that only this process uses: tests run in parallel.
 */
inline Address ownAddress(std::uint16_t port)
{
    const auto pid = static_cast<std::uint32_t>(::getpid());
    const std::uint32_t second = 64 + (pid >> 8U) % 128;
    return { .host = "127." + std::to_string(second) + "." + std::to_string(pid & 255U) + ".1",
             .port = port };
}

} // namespace Hibiscus
