// Registers single metrics, for the metrics of each daemon.
//
// Example:
//   prometheus::Counter& answers =
//       add_counter(registry, "oleanderhinge_entry_answers_total", "Answers");
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace oleanderhinge::net
{

// The metric lives as long as the registry.
prometheus::Counter& add_counter(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help,
    const prometheus::Labels& labels = {});
prometheus::Gauge& add_gauge(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help);
prometheus::Histogram& add_histogram(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help,
    const prometheus::Histogram::BucketBoundaries& bounds);

} // namespace oleanderhinge::net
