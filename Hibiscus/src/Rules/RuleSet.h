#pragma once

#include "Hibiscus/src/Rules/Rule.h"

#include <string_view>

namespace Hibiscus {

/** \brief Position and reason of an error in a rules file; lines and columns count from 1. */
struct RuleError
{
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string reason;

    auto operator<=>(const RuleError &other) const = default;
    HIBISCUS_FIELDS(line, column, reason)
};

/** \brief The parsed rules of one file, in the order of the file. */
class RuleSet
{
public:
    RuleSet() = default;

    /** \returns the rules in \a text, or the first error if there is any. */
    static tl::expected<RuleSet, RuleError> parse(std::string_view text);

    const std::vector<RuleLine> &lines() const { return this->ruleLines; }

    /** \returns the last rule of type \a RuleType for which \a matches, or nothing. */
    template<typename RuleType, typename Matches>
    std::optional<RuleType> find(Matches matches) const
    {
        std::optional<RuleType> found;
        for (const RuleLine &line : this->ruleLines)
            if (const auto *rule = std::get_if<RuleType>(&line.rule); rule && matches(*rule))
                found = *rule;
        return found;
    }

    /** \returns the maximum of tasks that \a team runs at once, if a rule sets one. */
    std::optional<std::uint32_t> quotaOf(const TeamName &team) const;
    /** \returns the priority level of \a team; 0 if no rule sets it. */
    std::uint32_t priorityOf(const TeamName &team) const;
    bool isDrained(const TargetName &target) const;
    bool isDrained(const NodeName &entry) const;
    bool isRefused(const ServiceName &service) const;
    /** \returns the limits that callers keep, if a rule names them. */
    std::optional<RequestLimits> requestLimits() const;
    /** \returns the route of \a host with the longest prefix of \a path, or nullptr. */
    const RouteRule *routeFor(std::string_view host, std::string_view path) const;

    auto operator<=>(const RuleSet &other) const = default;

private:
    std::vector<RuleLine> ruleLines;
};

} // namespace Hibiscus
