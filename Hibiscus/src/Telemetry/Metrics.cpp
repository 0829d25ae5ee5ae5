#include "Hibiscus/src/Telemetry/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace Hibiscus {

namespace internal {

/** \brief Bounds of the histogram's buckets, in seconds. */
static const prometheus::Histogram::BucketBoundaries secondsBuckets
    = { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 50 };

} // namespace internal

Metrics::Metrics(const std::string &node)
    : labels({ { "node", node } }), registry(std::make_shared<prometheus::Registry>())
{ }

void Metrics::setCounter(const std::string &name, const std::string &help, double value)
{
    auto &family = prometheus::BuildCounter().Name(name).Help(help).Register(*this->registry);
    prometheus::Counter &counter = family.Add(this->labels);
    if (value > counter.Value())
        counter.Increment(value - counter.Value());
}

void Metrics::setGauge(const std::string &name, const std::string &help, double value)
{
    auto &family = prometheus::BuildGauge().Name(name).Help(help).Register(*this->registry);
    family.Add(this->labels).Set(value);
}

void Metrics::observeSeconds(const std::string &name, const std::string &help, double seconds)
{
    auto &family = prometheus::BuildHistogram().Name(name).Help(help).Register(*this->registry);
    family.Add(this->labels, internal::secondsBuckets).Observe(seconds);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->registry->Collect());
}

} // namespace Hibiscus
