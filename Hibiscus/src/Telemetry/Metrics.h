#pragma once

#include <prometheus/registry.h>
#include <string>

namespace Hibiscus {

/** \brief Metrics of a process. Their values are copied from the counters of its objects when the
 * platform scrapes them.
 */
class Metrics
{
public:
    explicit Metrics(const std::string &node);

    // Commands.
    void setCounter(const std::string &name, const std::string &help, double value);
    void setGauge(const std::string &name, const std::string &help, double value);
    /** \brief Adds an observation to the histogram \a name. */
    void observeSeconds(const std::string &name, const std::string &help, double seconds);

    // Queries.
    /** \returns the metrics in the Prometheus text format. */
    std::string text() const;

private:
    prometheus::Labels labels;
    std::shared_ptr<prometheus::Registry> registry;
};

} // namespace Hibiscus
