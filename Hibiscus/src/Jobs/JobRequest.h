#pragma once

#include <Hibiscus/Core>

#include <string>
#include <vector>

namespace Hibiscus {

/** \brief Maximum number of tasks of a job. */
inline constexpr std::size_t maxTasksPerJob = 120;

/** \brief Whether a task may be started more than once. */
enum class Repeatability : std::uint8_t { NotRepeatable, Repeatable };

/** \brief A job as its caller submitted it. */
struct JobRequest
{
    JobId id;
    ServiceName service;
    TeamName team;
    Repeatability repeatability = Repeatability::NotRepeatable;
    TimePoint deadline;
    std::uint32_t slotsPerTask = 1; ///< slots that each task needs, as declared by the caller
    std::vector<std::string> payloads; ///< one payload per task

    std::size_t taskCount() const { return this->payloads.size(); }
    bool isRepeatable() const { return this->repeatability == Repeatability::Repeatable; }
    /** \returns a hash of the request without its deadline. */
    std::uint64_t contentHash() const;

    auto operator<=>(const JobRequest &other) const = default;
    HIBISCUS_FIELDS(id, service, team, repeatability, deadline, slotsPerTask, payloads)
};

} // namespace Hibiscus
