#include "Hibiscus/src/Rules/RulesMessage.h"

namespace Hibiscus {

RulesOffer offerOf(const RulesUpdate &update)
{
    if (update.isConfirmed)
        return RulesOffer::Confirmed;
    return update.isCatchUp ? RulesOffer::CatchUp : RulesOffer::Unconfirmed;
}

const char *toString(RulesOffer offer)
{
    switch (offer) {
    case RulesOffer::Confirmed:
        return "confirmed";
    case RulesOffer::CatchUp:
        return "catch-up";
    case RulesOffer::Unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

std::uint64_t versionOf(const RulesUpdate &update)
{
    return std::visit([](const auto &content) { return content.version; }, update.content);
}

} // namespace Hibiscus
