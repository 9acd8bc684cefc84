#include "oleanderhinge/agent/internal/metrics.hpp"

namespace oleanderhinge::agent::internal
{

namespace
{

prometheus::Counter& counter(
    prometheus::Registry& registry,
    const char* name,
    const char* help,
    const char* result)
{
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({{"result", result}});
}

prometheus::Counter&
counter(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

prometheus::Gauge&
gauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add({});
}

prometheus::Histogram&
histogram(prometheus::Registry& registry, const char* name, const char* help)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add(
            {},
            prometheus::Histogram::BucketBoundaries{
                0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5});
}

constexpr auto attempts = "oleanderhinge_agent_attempts_total";
constexpr auto attempts_help = "Attempts at this stage by result";
constexpr auto steps = "oleanderhinge_agent_steps_total";
constexpr auto steps_help = "Layer steps by what was done with them";
constexpr auto calls = "oleanderhinge_agent_calls_total";
constexpr auto calls_help = "Calls to the plain service by verdict";
constexpr auto orders = "oleanderhinge_agent_orders_total";
constexpr auto orders_help = "Orders to the backend server by result";

} // namespace

metrics::metrics(prometheus::Registry& r)
    : attempts_granted(counter(r, attempts, attempts_help, "granted"))
    , attempts_refused(counter(r, attempts, attempts_help, "refused"))
    , attempts_failed(counter(r, attempts, attempts_help, "failed"))
    , attempts_fenced(counter(r, attempts, attempts_help, "fenced"))
    , attempts_closed(counter(r, attempts, attempts_help, "closed"))
    , steps_run(counter(r, steps, steps_help, "run"))
    , steps_failed(counter(r, steps, steps_help, "failed"))
    , steps_repeated(counter(r, steps, steps_help, "repeated"))
    , steps_fenced(counter(r, steps, steps_help, "fenced"))
    , steps_refused(counter(r, steps, steps_help, "refused"))
    , steps_resent(counter(r, steps, steps_help, "resent"))
    , tokens(counter(
          r, "oleanderhinge_agent_tokens_total", "Tokens sent to entry nodes"))
    , calls_answered(counter(r, calls, calls_help, "answered"))
    , calls_not_run(counter(r, calls, calls_help, "not_run"))
    , calls_may_have_run(counter(r, calls, calls_help, "may_have_run"))
    , orders_applied(counter(r, orders, orders_help, "applied"))
    , orders_refused(counter(r, orders, orders_help, "refused"))
    , announcements(counter(
          r,
          "oleanderhinge_agent_announcements_total",
          "Announcements sent to entry nodes"))
    , unexpected_messages(counter(
          r,
          "oleanderhinge_agent_unexpected_messages_total",
          "Messages that the role of the sender does not allow"))
    , step_seconds(histogram(
          r,
          "oleanderhinge_agent_step_seconds",
          "Time of a step on the engine"))
    , call_seconds(histogram(
          r,
          "oleanderhinge_agent_call_seconds",
          "Time of a call on the service"))
    , attempts_open(gauge(
          r, "oleanderhinge_agent_attempts_open", "Attempts that are open"))
    , calls_open(
          gauge(r, "oleanderhinge_agent_calls_open", "Calls in progress"))
    , slots_used(gauge(r, "oleanderhinge_agent_slots_used", "Slots in use"))
    , slot_limit(gauge(r, "oleanderhinge_agent_slot_limit", "Limit of slots"))
    , queued(gauge(r, "oleanderhinge_agent_queued", "Work that waits"))
    , links(gauge(r, "oleanderhinge_agent_links", "Links to other processes"))
    , serving(gauge(
          r,
          "oleanderhinge_agent_serving",
          "1 while new work is taken, else 0"))
{
}

} // namespace oleanderhinge::agent::internal
