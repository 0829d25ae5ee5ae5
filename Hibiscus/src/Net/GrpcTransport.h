#pragma once

#include "Hibiscus/src/Net/RelayTransport.h"

namespace Hibiscus {

/** \returns a transport over gRPC, for the processes with large messages between few nodes. */
RelayTransport makeGrpcTransport(EventLoop &loop, const RelayTransport::Options &options);

} // namespace Hibiscus
