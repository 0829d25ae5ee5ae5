#pragma once

#include <cerrno>
#include <sys/socket.h>
#include <system_error>

namespace Hibiscus::internal {

/** \brief Memory that the system may use for the received data of a connection, in bytes, before it
 * doubles the number for its own overhead: many ordinary requests, and a few milliseconds of a
 * fast network.
 */
constexpr int receiveBufferBytes = 262'144;

// h2o reads all that the system holds of a connection before it calls back, and the system would
// hold tens of megabytes for a client that sends quickly.
/** \brief Limits what a single read of \a socketFd, or of the connections that it accepts, takes.
 * \returns the error of the system, if any.
 */
inline std::error_code limitReceiveBuffer(int socketFd)
{
    const int size = receiveBufferBytes;
    if (::setsockopt(socketFd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)) != 0)
        return { errno, std::generic_category() };
    return {};
}

} // namespace Hibiscus::internal
