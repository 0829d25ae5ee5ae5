#pragma once

#include "Hibiscus/src/Net/RelayTransport.h"

namespace Hibiscus {

/** \returns a transport over HTTP/1.1 on the event loop, for the nodes of a large deployment: many
 * small batches, and a small part of a processor.
 */
RelayTransport makeHttpTransport(EventLoop &loop, const RelayTransport::Options &options);

} // namespace Hibiscus
