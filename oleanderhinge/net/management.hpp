// The management port of each daemon: /healthz, /readyz, /metrics, /events.
//
// Example:
//   prometheus::Registry registry;
//   http_server server{io, management_limits(), management_handler({
//       .ready = [&] { return true; }, .registry = registry,
//       .events = recorder, .before_scrape = [&] { ... }})};
#pragma once

#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/timeline/event.hpp"

#include <prometheus/registry.h>

#include <functional>
#include <string>

namespace oleanderhinge::net
{

struct readiness {
    bool ready = true;
    // Why not, for operators.
    std::string reason;
};

struct management_options {
    std::function<readiness()> ready;
    prometheus::Registry& registry;
    const timeline::recorder& events;
    // Copies counters that are kept elsewhere into the registry; may be empty.
    std::function<void()> before_scrape;
};

// Limits that leave callers of other servers their memory and descriptors.
http_limits management_limits();

// Serves
//   GET /healthz         200 while the process runs
//   GET /readyz          200 or 503 with the reason
//   GET /metrics         Prometheus text format
//   GET /events?after=S  JSON of at most 10,000 events after stamp S
// and 404 for anything else. The objects referred to must outlive the server.
http_handler management_handler(management_options options);

} // namespace oleanderhinge::net
