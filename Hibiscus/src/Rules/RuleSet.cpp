#include "Hibiscus/src/Rules/RuleSet.h"

#include <charconv>
#include <map>
#include <set>

namespace Hibiscus {

namespace internal {

/** \brief A word of a line with the column of its first character. */
struct Word
{
    std::string_view text;
    std::uint32_t column = 0;
};

struct LineError
{
    std::uint32_t column = 0;
    std::string reason;
};

using ParsedRule = tl::expected<Rule, LineError>;

static tl::unexpected<LineError> lineError(std::uint32_t column, std::string reason)
{
    return tl::unexpected<LineError>(LineError { .column = column, .reason = std::move(reason) });
}

static std::vector<Word> splitWords(std::string_view text)
{
    std::vector<Word> words;
    std::size_t position = 0;
    while (true) {
        const std::size_t begin = text.find_first_not_of(" \t\r", position);
        if (begin == std::string_view::npos)
            return words;
        std::size_t end = text.find_first_of(" \t\r", begin);
        if (end == std::string_view::npos)
            end = text.size();
        words.push_back({ .text = text.substr(begin, end - begin),
                          .column = static_cast<std::uint32_t>(begin + 1) });
        position = end;
    }
}

/** \brief The `key=value` arguments of a rule; reading an argument consumes it. */
class Arguments
{
public:
    explicit Arguments(const std::vector<Word> &words)
    {
        for (std::size_t i = 1; i < words.size(); ++i)
            this->add(words[i]);
    }

    std::string name(std::string_view key)
    {
        const auto value = this->extract(key);
        return value ? std::string(value->text) : std::string();
    }

    /** \returns the value of \a key with each %XX decoded. */
    std::string text(std::string_view key)
    {
        const auto value = this->extract(key);
        std::string decoded;
        for (std::size_t i = 0; value && i < value->text.size(); ++i) {
            if (value->text[i] != '%') {
                decoded += value->text[i];
                continue;
            }
            unsigned byte = 0;
            const std::string_view digits = value->text.substr(i + 1, 2);
            const char *end = digits.data() + digits.size();
            const auto parsed = std::from_chars(digits.data(), end, byte, 16);
            if (digits.size() != 2 || parsed.ec != std::errc() || parsed.ptr != end)
                this->fail(value->column, "expected two hexadecimal digits after %");
            decoded += static_cast<char>(byte);
            i += 2;
        }
        return decoded;
    }

    std::uint32_t number(std::string_view key, std::uint32_t max)
    {
        const auto value = this->extract(key);
        std::uint32_t number = 0;
        if (!value)
            return number;
        const char *end = value->text.data() + value->text.size();
        const auto parsed = std::from_chars(value->text.data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end || number > max)
            this->fail(value->column, "expected a whole number up to " + std::to_string(max));
        return number;
    }

    bool has(std::string_view key) const { return this->values.contains(key); }

    /** \returns \a rule, or an error if an argument was malformed, missing or not consumed. */
    ParsedRule finish(Rule rule)
    {
        if (!this->error && !this->values.empty())
            this->fail(this->values.begin()->second.column, "unexpected argument");
        if (this->error)
            return tl::unexpected<LineError>(*this->error);
        return rule;
    }

private:
    void add(const Word &word)
    {
        const std::size_t equals = word.text.find('=');
        if (equals == std::string_view::npos || equals + 1 == word.text.size()) {
            this->fail(word.column, "expected key=value");
            return;
        }
        const Word value = { .text = word.text.substr(equals + 1),
                             .column = word.column + static_cast<std::uint32_t>(equals) + 1 };
        if (!this->values.try_emplace(word.text.substr(0, equals), value).second)
            this->fail(word.column, "argument given twice");
    }

    std::optional<Word> extract(std::string_view key)
    {
        const auto found = this->values.find(key);
        if (found == this->values.end()) {
            this->fail(1, "missing argument " + std::string(key));
            return std::nullopt;
        }
        const Word value = found->second;
        this->values.erase(found);
        return value;
    }

    void fail(std::uint32_t column, std::string reason)
    {
        if (!this->error)
            this->error = LineError { .column = column, .reason = std::move(reason) };
    }

    std::map<std::string_view, Word> values;
    std::optional<LineError> error;
};

constexpr std::uint32_t maxTasks = 10'000'000;
constexpr std::uint32_t maxPercent = 100;
constexpr std::uint32_t maxPriority = 9;
constexpr std::uint32_t maxRoutePriority = 1'000'000;
constexpr std::uint32_t maxMilliseconds = 1'000'000'000;
constexpr std::uint32_t maxRequestBytes = 1'000'000'000;
constexpr std::uint32_t maxAttempts = 1'000'000;
constexpr std::uint32_t maxStretchPercent = 100'000'000;

static ParsedRule parseDrain(Arguments &arguments)
{
    if (arguments.has("entry"))
        return arguments.finish(DrainEntry { .entry = NodeName(arguments.name("entry")) });
    return arguments.finish(DrainTarget { .target = TargetName(arguments.name("target")) });
}

static ParsedRule parseRoute(Arguments &arguments)
{
    RouteRule route;
    route.name = arguments.text("name");
    route.host = arguments.text("host");
    route.prefix = arguments.text("prefix");
    route.service = ServiceName(arguments.text("service"));
    route.deadlineMs = arguments.number("deadline-ms", maxMilliseconds);
    route.objectiveMs = arguments.number("objective-ms", maxMilliseconds);
    route.priority = arguments.number("priority", maxRoutePriority);
    route.attempts = arguments.number("attempts", maxAttempts);
    route.stretchPercent = arguments.number("stretch-percent", maxStretchPercent);
    return arguments.finish(route);
}

static ParsedRule parseRequestLimits(Arguments &arguments)
{
    RequestLimits limits;
    limits.maxHeaderBytes = arguments.number("max-header-bytes", maxRequestBytes);
    limits.maxBodyBytes = arguments.number("max-body-bytes", maxRequestBytes);
    limits.headerTimeoutMs = arguments.number("header-timeout-ms", maxMilliseconds);
    return arguments.finish(limits);
}

static ParsedRule parseRule(const std::vector<Word> &words)
{
    Arguments arguments(words);
    const std::string_view verb = words.front().text;
    const auto service = [&] { return ServiceName(arguments.name("service")); };
    const auto team = [&] { return TeamName(arguments.name("team")); };
    if (verb == "quota")
        return arguments.finish(
            TeamQuota { .team = team(), .tasks = arguments.number("tasks", maxTasks) });
    if (verb == "limit")
        return arguments.finish(
            ServiceLimit { .service = service(), .tasks = arguments.number("tasks", maxTasks) });
    if (verb == "rate")
        return arguments.finish(ServiceRate {
            .service = service(), .jobsPerSecond = arguments.number("per-second", maxTasks) });
    if (verb == "retry")
        return arguments.finish(RetryLimit { .service = service(),
                                             .percent = arguments.number("percent", maxPercent) });
    if (verb == "priority")
        return arguments.finish(
            TeamPriority { .team = team(), .level = arguments.number("level", maxPriority) });
    if (verb == "drain")
        return parseDrain(arguments);
    if (verb == "refuse")
        return arguments.finish(RefuseService { .service = service() });
    if (verb == "service")
        return arguments.finish(ServiceRule { .service = ServiceName(arguments.text("name")) });
    if (verb == "route")
        return parseRoute(arguments);
    if (verb == "requests")
        return parseRequestLimits(arguments);
    return lineError(words.front().column, "unknown rule '" + std::string(verb) + "'");
}

static std::string_view trimmed(std::string_view text)
{
    const std::size_t begin = text.find_first_not_of(" \t\r");
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

static tl::expected<std::optional<RuleLine>, LineError> parseLine(std::string_view line)
{
    const std::size_t hash = line.find('#');
    const bool hasComment = hash != std::string_view::npos;
    const std::vector<Word> words = splitWords(line.substr(0, hasComment ? hash : line.size()));
    if (words.empty())
        return std::optional<RuleLine>();
    const std::string_view requestedBy = hasComment ? trimmed(line.substr(hash + 1)) : "";
    if (requestedBy.empty())
        return lineError(static_cast<std::uint32_t>(line.size() + 1),
                         "missing comment that names who asked for the rule");
    ParsedRule rule = parseRule(words);
    if (!rule)
        return tl::unexpected<LineError>(rule.error());
    RuleLine parsed;
    parsed.requestedBy = std::string(requestedBy);
    parsed.rule = std::move(*rule);
    return parsed;
}

/** \returns the first error that involves a route and other rules of \a lines, or nothing. */
static std::optional<RuleError> checkRoutes(const std::vector<RuleLine> &lines)
{
    std::set<ServiceName> services;
    std::set<std::pair<std::string, std::string>> routeKeys;
    for (const RuleLine &line : lines)
        if (const auto *service = std::get_if<ServiceRule>(&line.rule))
            services.insert(service->service);
    for (const RuleLine &line : lines) {
        const auto *route = std::get_if<RouteRule>(&line.rule);
        if (route == nullptr)
            continue;
        std::string reason;
        if (!services.contains(route->service))
            reason = "the route names an unknown service";
        else if (!routeKeys.emplace(route->host, route->prefix).second)
            reason = "another route has the same host and prefix";
        else if (route->deadlineMs == 0)
            reason = "the deadline of a route is at least 1 ms";
        if (!reason.empty())
            return RuleError { .line = line.line, .column = 1, .reason = reason };
    }
    return std::nullopt;
}

} // namespace internal

tl::expected<RuleSet, RuleError> RuleSet::parse(std::string_view text)
{
    RuleSet rules;
    std::uint32_t number = 0;
    while (!text.empty()) {
        ++number;
        const std::size_t end = std::min(text.find('\n'), text.size());
        const auto line = internal::parseLine(text.substr(0, end));
        if (!line)
            return tl::unexpected<RuleError>(RuleError {
                .line = number, .column = line.error().column, .reason = line.error().reason });
        if (*line) {
            rules.ruleLines.push_back(**line);
            rules.ruleLines.back().line = number;
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (const auto error = internal::checkRoutes(rules.ruleLines))
        return tl::unexpected<RuleError>(*error);
    return rules;
}

std::optional<std::uint32_t> RuleSet::quotaOf(const TeamName &team) const
{
    const auto rule = this->find<TeamQuota>([&](const auto &r) { return r.team == team; });
    return rule ? std::optional(rule->tasks) : std::nullopt;
}

std::uint32_t RuleSet::priorityOf(const TeamName &team) const
{
    const auto rule = this->find<TeamPriority>([&](const auto &r) { return r.team == team; });
    return rule ? rule->level : 0;
}

bool RuleSet::isDrained(const TargetName &target) const
{
    return this->find<DrainTarget>([&](const auto &r) { return r.target == target; }).has_value();
}

bool RuleSet::isDrained(const NodeName &entry) const
{
    return this->find<DrainEntry>([&](const auto &r) { return r.entry == entry; }).has_value();
}

bool RuleSet::isRefused(const ServiceName &service) const
{
    return this->find<RefuseService>([&](const auto &r) { return r.service == service; })
        .has_value();
}

std::optional<RequestLimits> RuleSet::requestLimits() const
{
    return this->find<RequestLimits>([](const RequestLimits &) { return true; });
}

const RouteRule *RuleSet::routeFor(std::string_view host, std::string_view path) const
{
    const RouteRule *best = nullptr;
    for (const RuleLine &line : this->ruleLines) {
        const auto *route = std::get_if<RouteRule>(&line.rule);
        const bool matches = route != nullptr && route->host == host
            && path.substr(0, route->prefix.size()) == route->prefix;
        if (matches && (best == nullptr || route->prefix.size() > best->prefix.size()))
            best = route;
    }
    return best;
}

} // namespace Hibiscus
