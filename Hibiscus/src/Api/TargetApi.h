#pragma once

#include "Hibiscus/src/Api/CallerApi.h"

#include <Hibiscus/Dispatch>

namespace Hibiscus {

/** \returns the announcement in the JSON \a body, or the first error. */
tl::expected<AnnouncementRequest, ApiError> parseAnnouncement(const std::string &body,
                                                              const Deployment &deployment);

/** \returns the JSON that a target sends for \a request. */
std::string renderAnnouncement(const AnnouncementRequest &request);

} // namespace Hibiscus
