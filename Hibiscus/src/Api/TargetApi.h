#pragma once

#include "Hibiscus/src/Api/CallerApi.h"

#include <Hibiscus/Dispatch>

namespace Hibiscus {

/** \returns the announcement in the JSON \a body, or what is wrong. */
tl::expected<AnnouncementRequest, ApiError> parseAnnouncement(const std::string &body,
                                                              const Deployment &deployment);

/** \returns \a request as a target sends it. */
std::string renderAnnouncement(const AnnouncementRequest &request);

} // namespace Hibiscus
