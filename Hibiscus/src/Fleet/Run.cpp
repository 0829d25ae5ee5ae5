#include "Hibiscus/src/Fleet/Run.h"

namespace Hibiscus {

const char *toString(RunEndKind kind)
{
    switch (kind) {
    case RunEndKind::Completed:
        return "completed";
    case RunEndKind::Failed:
        return "failed";
    case RunEndKind::NotStarted:
        return "not-started";
    case RunEndKind::Returned:
        return "returned";
    case RunEndKind::TooLate:
        return "too-late";
    case RunEndKind::Superseded:
        return "superseded";
    case RunEndKind::Stopped:
        return "stopped";
    case RunEndKind::Lost:
        return "lost";
    case RunEndKind::Hopeless:
        return "hopeless";
    case RunEndKind::StartPending:
        return "start-pending";
    case RunEndKind::Unknown:
        break;
    }
    return "unknown";
}

const char *toString(RunEndEvidence evidence)
{
    switch (evidence) {
    case RunEndEvidence::StartResponse:
        return "start-response";
    case RunEndEvidence::ListedAsEnded:
        return "listed-as-ended";
    case RunEndEvidence::NotListed:
        return "not-listed";
    case RunEndEvidence::StopConfirmed:
        return "stop-confirmed";
    case RunEndEvidence::TargetEnded:
        return "target-ended";
    case RunEndEvidence::TargetFenced:
        return "target-fenced";
    case RunEndEvidence::StartExpired:
        return "start-expired";
    case RunEndEvidence::TargetRemoved:
        break;
    }
    return "target-removed";
}

} // namespace Hibiscus
