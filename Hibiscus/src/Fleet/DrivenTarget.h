#pragma once

#include "Hibiscus/src/Fleet/TargetOrder.h"

namespace Hibiscus {

/** \brief Target of an owner, as its guardians need it to fence the owner's orders.
 *
 * \sa OwnerFence
 */
struct DrivenTarget
{
    OrderAddress address; ///< with the token that the owner has reported
    /** \brief Whether a start may be executed that the owner cannot stop, since the target does not
     * respond to it.
     */
    bool isFenceWanted = false;

    auto operator<=>(const DrivenTarget &other) const = default;
    HIBISCUS_FIELDS(address, isFenceWanted)
};

} // namespace Hibiscus
