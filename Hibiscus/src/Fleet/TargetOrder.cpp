#include "Hibiscus/src/Fleet/TargetOrder.h"

namespace Hibiscus {

const char *toString(OrderStatus status)
{
    switch (status) {
    case OrderStatus::Done:
        return "done";
    case OrderStatus::Fenced:
        return "fenced";
    case OrderStatus::Superseded:
        return "superseded";
    case OrderStatus::LeaseExpired:
        return "late";
    case OrderStatus::InsufficientCapacity:
        return "no-room";
    case OrderStatus::Unhealthy:
        return "unhealthy";
    case OrderStatus::Rejected:
        return "rejected";
    case OrderStatus::StaleIncarnation:
        return "other-life";
    case OrderStatus::NotSent:
        return "not-sent";
    case OrderStatus::Unanswered:
        break;
    }
    return "unanswered";
}

} // namespace Hibiscus
