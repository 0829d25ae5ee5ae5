#include "Hibiscus/src/Replication/MembershipChange.h"

namespace Hibiscus {

const char *toString(MembershipCause cause)
{
    switch (cause) {
    case MembershipCause::Joined:
        return "joined";
    case MembershipCause::DiskLost:
        return "disk-lost";
    case MembershipCause::VoterLeaving:
        return "voter-leaving";
    case MembershipCause::VoterSilent:
        return "voter-silent";
    case MembershipCause::TooFewVoters:
        return "too-few-voters";
    case MembershipCause::LearnerSilent:
        return "learner-silent";
    case MembershipCause::LearnerCaughtUp:
        return "learner-caught-up";
    }
    return "unknown";
}

const char *toString(ExchangeObstacle obstacle)
{
    switch (obstacle) {
    case ExchangeObstacle::None:
        return "none";
    case ExchangeObstacle::LeaderNotReady:
        return "leader-not-ready";
    case ExchangeObstacle::ChangeNotCommitted:
        return "change-not-committed";
    case ExchangeObstacle::SilenceTooShort:
        return "silence-too-short";
    case ExchangeObstacle::NoLearner:
        return "no-learner";
    case ExchangeObstacle::LearnerSilent:
        return "learner-silent";
    case ExchangeObstacle::LearnerLeaving:
        return "learner-leaving";
    case ExchangeObstacle::LearnerBehind:
        return "learner-behind";
    case ExchangeObstacle::VoterNeeded:
        return "voter-needed";
    }
    return "unknown";
}

} // namespace Hibiscus
