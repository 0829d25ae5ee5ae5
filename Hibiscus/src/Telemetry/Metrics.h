#pragma once

#include <prometheus/registry.h>
#include <string>

namespace Hibiscus {

/** \brief The metrics of a process. Values are set from the counters of the deciding objects when
 * the platform reads them.
 */
class Metrics
{
public:
    explicit Metrics(const std::string &node);

    // Commands.
    void setCounter(const std::string &name, const std::string &help, double value);
    void setGauge(const std::string &name, const std::string &help, double value);
    /** \brief Adds one observation, in seconds. */
    void observeSeconds(const std::string &name, const std::string &help, double seconds);

    // Queries.
    /** \returns the metrics in the Prometheus text format. */
    std::string text() const;

private:
    prometheus::Labels labels;
    std::shared_ptr<prometheus::Registry> registry;
};

} // namespace Hibiscus
