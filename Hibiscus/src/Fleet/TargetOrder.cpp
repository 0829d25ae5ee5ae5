#include "Hibiscus/src/Fleet/TargetOrder.h"

namespace Hibiscus {

const char *toString(OrderVerdict verdict)
{
    switch (verdict) {
    case OrderVerdict::Done:
        return "done";
    case OrderVerdict::Fenced:
        return "fenced";
    case OrderVerdict::Superseded:
        return "superseded";
    case OrderVerdict::Late:
        return "late";
    case OrderVerdict::NoRoom:
        return "no-room";
    case OrderVerdict::Unhealthy:
        return "unhealthy";
    case OrderVerdict::Rejected:
        return "rejected";
    case OrderVerdict::OtherLife:
        return "other-life";
    case OrderVerdict::NotSent:
        return "not-sent";
    case OrderVerdict::Unanswered:
        break;
    }
    return "unanswered";
}

} // namespace Hibiscus
