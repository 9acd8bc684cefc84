#include "oleanderhinge/net/caller_metrics.hpp"

#include "oleanderhinge/net/metric_builders.hpp"

namespace oleanderhinge::net
{

caller_metrics::caller_metrics(
    prometheus::Registry& registry, const std::string& prefix)
    : connections(add_gauge(
          registry,
          prefix + "_caller_connections",
          "Open connections of callers"))
    , bytes(add_gauge(
          registry,
          prefix + "_caller_bytes",
          "Memory that callers make the process hold"))
    , closed(add_gauge(
          registry,
          prefix + "_callers_closed",
          "Connections without progress closed since the start, so that others "
          "have memory or a connection"))
    , refused(add_gauge(
          registry,
          prefix + "_callers_refused",
          "Requests and connections refused since the start for lack of memory "
          "or connections"))
{
}

void caller_metrics::update(const http_server& server)
{
    const auto limited = server.limited();
    this->connections.Set(double(server.connections()));
    this->bytes.Set(double(server.held_bytes()));
    this->closed.Set(
        double(limited.closed_for_memory + limited.closed_for_place));
    this->refused.Set(double(limited.refused_memory + limited.refused_place));
}

} // namespace oleanderhinge::net
