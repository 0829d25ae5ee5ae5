#pragma once

#include <Hibiscus/Fleet>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief Logs what a step of a FleetNode has decided or learned of targets and runs.
 * \param unansweredLines limit of the lines on targets that may not exist.
 */
void logDecisions(const FleetOutbox &out, LineLimit &unansweredLines, TimePoint now);

} // namespace Hibiscus
