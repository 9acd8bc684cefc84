// Metrics of the callers of an HTTP server: what they hold, and how many were
// closed or refused so that others are served.
//
// Example:
//   caller_metrics numbers(registry, "oleanderhinge_gateway");
//   numbers.update(server);   // before each scrape
#pragma once

#include "oleanderhinge/net/http_server.hpp"

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace oleanderhinge::net
{

class caller_metrics
{
public:
    // `prefix` begins the names.
    caller_metrics(prometheus::Registry& registry, const std::string& prefix);

    void update(const http_server& server);

private:
    prometheus::Gauge& connections;
    prometheus::Gauge& bytes;
    prometheus::Gauge& closed;
    prometheus::Gauge& refused;
};

} // namespace oleanderhinge::net
