#pragma once

#include <Hibiscus/Fleet>

namespace Hibiscus {

/** \brief Logs what a step of a FleetNode has decided or learned of targets and runs. */
void logDecisions(const FleetOutbox &out);

} // namespace Hibiscus
