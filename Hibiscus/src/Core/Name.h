#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus {

/** \brief A name; names with different tags are distinct types.
 *
 * \tparam Tag an empty type that identifies the kind of name.
 */
template<typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : text(std::move(text)) { }

    const std::string &str() const { return this->text; }
    bool isEmpty() const { return this->text.empty(); }

    auto operator<=>(const Name &other) const = default;

    /** \brief Serialization for the cereal library. */
    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->text);
    }

private:
    std::string text;
};

/** \brief Name of a process of the system, as in the settings. */
using NodeName = Name<struct NodeNameTag>;
/** \brief Name of a failure domain. */
using DomainName = Name<struct DomainNameTag>;
/** \brief Name of a target, a back end that runs tasks. */
using TargetName = Name<struct TargetNameTag>;
/** \brief Name of a team, whose usage is limited by a quota. */
using TeamName = Name<struct TeamNameTag>;
/** \brief Name of a service that targets offer. */
using ServiceName = Name<struct ServiceNameTag>;
/** \brief Name of a route, a kind of job in the rules. */
using RouteName = Name<struct RouteNameTag>;

} // namespace Hibiscus

template<typename Tag>
struct std::hash<Hibiscus::Name<Tag>>
{
    std::size_t operator()(const Hibiscus::Name<Tag> &name) const
    {
        return std::hash<std::string> {}(name.str());
    }
};
