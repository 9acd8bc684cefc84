#include "oleanderhinge/net/metric_builders.hpp"

namespace oleanderhinge::net
{

prometheus::Counter& add_counter(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help,
    const prometheus::Labels& labels)
{
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add(labels);
}

prometheus::Gauge& add_gauge(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

prometheus::Histogram& add_histogram(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help,
    const prometheus::Histogram::BucketBoundaries& bounds)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({}, bounds);
}

} // namespace oleanderhinge::net
