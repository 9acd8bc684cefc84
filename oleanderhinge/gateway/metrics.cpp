#include "oleanderhinge/gateway/metrics.hpp"

#include "oleanderhinge/net/metric_builders.hpp"

namespace oleanderhinge::gateway
{

namespace
{

// In seconds, around the usual targets: 150 ms, 500 ms and 1 s to the first
// event or answer, and gaps of 250 ms.
const prometheus::Histogram::BucketBoundaries second_bounds{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2, 5, 20};

} // namespace

metrics::metrics(prometheus::Registry& registry)
    : answers(prometheus::BuildCounter()
                  .Name("oleanderhinge_gateway_answers_total")
                  .Help("Requests by outcome")
                  .Register(registry))
    , hedges(prometheus::BuildCounter()
                 .Name("oleanderhinge_gateway_hedges_total")
                 .Help("Second attempts beside the first, by event")
                 .Register(registry))
    , withheld_hedges(
          prometheus::BuildCounter()
              .Name("oleanderhinge_gateway_hedges_withheld_total")
              .Help("Second attempts that were due and not made, by reason")
              .Register(registry))
    , cancelled_attempts(net::add_counter(
          registry,
          "oleanderhinge_gateway_hedges_cancelled_attempts_total",
          "Attempts cancelled because the other one was answered"))
    , attempts(net::add_counter(
          registry,
          "oleanderhinge_gateway_attempts_total",
          "Requests sent to backend servers"))
    , repeats(net::add_counter(
          registry,
          "oleanderhinge_gateway_repeats_total",
          "Requests sent again, after a failure or beside the first attempt"))
    , resumed_streams(net::add_counter(
          registry,
          "oleanderhinge_gateway_resumed_streams_total",
          "Streams that another path continued"))
    , changed_paths(net::add_counter(
          registry,
          "oleanderhinge_gateway_changed_paths_total",
          "Streams whose first server went on along another path"))
    , left_paths(net::add_counter(
          registry,
          "oleanderhinge_gateway_left_paths_total",
          "Requests that left a path before their first event"))
    , takeovers(net::add_counter(
          registry,
          "oleanderhinge_gateway_takeovers_total",
          "Attempts to continue a stream while its present one is kept"))
    , failed_takeovers(net::add_counter(
          registry,
          "oleanderhinge_gateway_failed_takeovers_total",
          "Such attempts that did not replace the present one"))
    , crashes(net::add_counter(
          registry,
          "oleanderhinge_gateway_crashes_total",
          "Requests whose server crashed before their first event"))
    , quarantined(net::add_counter(
          registry,
          "oleanderhinge_gateway_quarantined_total",
          "Requests refused because servers crashed on a part of their prompt"))
    , servers_leaving(net::add_counter(
          registry,
          "oleanderhinge_gateway_servers_leaving_total",
          "Servers that said in an answer that they leave"))
    , backoffs(net::add_counter(
          registry,
          "oleanderhinge_gateway_backoffs_total",
          "Answers in which a server asked for no requests for a time"))
    , ignored_retry_after(net::add_counter(
          registry,
          "oleanderhinge_gateway_ignored_retry_after_total",
          "Answers of servers with a Retry-After that cannot be read"))
    , ignored_limits(net::add_counter(
          registry,
          "oleanderhinge_gateway_ignored_limits_total",
          "Answers of servers with a limit that cannot be read"))
    , permits_taken(net::add_counter(
          registry,
          "oleanderhinge_gateway_permits_taken_total",
          "Requests sent to servers with a limit, with a permit of control"))
    , own_permits_taken(net::add_counter(
          registry,
          "oleanderhinge_gateway_own_permits_taken_total",
          "Requests sent to servers with a limit without one, since control "
          "granted none"))
    , limit_refusals(net::add_counter(
          registry,
          "oleanderhinge_gateway_limit_refusals_total",
          "Requests refused because the limits of all servers were used up"))
    , withheld(net::add_counter(
          registry,
          "oleanderhinge_gateway_withheld_total",
          "Requests not sent to the chosen server, since it left, asked for a "
          "pause, had its limit used up or the request would outlast a stop "
          "when the connection was open"))
    , events(net::add_counter(
          registry,
          "oleanderhinge_gateway_events_total",
          "Stream events passed to callers"))
    , log_lines_dropped(net::add_counter(
          registry,
          "oleanderhinge_gateway_log_lines_dropped_total",
          "Log lines above the limit"))
    , first_byte_seconds(net::add_histogram(
          registry,
          "oleanderhinge_gateway_first_byte_seconds",
          "Time to the first event or the whole answer",
          second_bounds))
    , gap_seconds(net::add_histogram(
          registry,
          "oleanderhinge_gateway_gap_seconds",
          "Time between events of a stream",
          second_bounds))
    , in_progress(net::add_gauge(
          registry,
          "oleanderhinge_gateway_requests_in_progress",
          "Requests in progress"))
    , table_version(net::add_gauge(
          registry,
          "oleanderhinge_gateway_forwarding_version",
          "Version of the forwarding table in force"))
    , servers(net::add_gauge(
          registry, "oleanderhinge_gateway_servers", "Backend servers known"))
    , quarantined_parts(net::add_gauge(
          registry,
          "oleanderhinge_gateway_quarantined_parts",
          "Parts of prompts in quarantine"))
    , excluded_servers(net::add_gauge(
          registry,
          "oleanderhinge_gateway_excluded_servers",
          "Ready servers that get no requests, since they leave or asked for "
          "a pause"))
    , longest_backoff_seconds(net::add_gauge(
          registry,
          "oleanderhinge_gateway_longest_backoff_seconds",
          "Time until the last of the pauses that servers asked for ends"))
    , limited_servers(net::add_gauge(
          registry,
          "oleanderhinge_gateway_limited_servers",
          "Servers that state a limit on the requests a second"))
    , own_permits(net::add_gauge(
          registry,
          "oleanderhinge_gateway_own_permits",
          "Servers with a limit for which the gateway grants itself permits, "
          "since control grants none"))
    , idle_connections(net::add_gauge(
          registry,
          "oleanderhinge_gateway_idle_connections",
          "Open connections to backend servers that carry no request"))
    , answer_bytes(net::add_gauge(
          registry,
          "oleanderhinge_gateway_answer_bytes",
          "Memory of answers that are not passed on yet"))
    , control_nodes(net::add_gauge(
          registry,
          "oleanderhinge_gateway_control_nodes",
          "Known addresses of control nodes"))
    , control_links(net::add_gauge(
          registry,
          "oleanderhinge_gateway_control_links",
          "Open links to control nodes"))
{
}

void metrics::count_answer(const std::string& outcome)
{
    this->answers.Add({{"outcome", outcome}}).Increment();
}

void metrics::count_hedge(const std::string& event)
{
    this->hedges.Add({{"event", event}}).Increment();
}

void metrics::count_withheld_hedge(const std::string& reason)
{
    this->withheld_hedges.Add({{"reason", reason}}).Increment();
}

} // namespace oleanderhinge::gateway
