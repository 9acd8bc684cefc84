#include "oleanderhinge/agent/internal/metrics.hpp"

#include "oleanderhinge/net/metric_builders.hpp"

namespace oleanderhinge::agent::internal
{

namespace
{

using net::add_counter;
using net::add_gauge;

const prometheus::Histogram::BucketBoundaries second_bounds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

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
    : attempts_granted(
          add_counter(r, attempts, attempts_help, {{"result", "granted"}}))
    , attempts_refused(
          add_counter(r, attempts, attempts_help, {{"result", "refused"}}))
    , attempts_failed(
          add_counter(r, attempts, attempts_help, {{"result", "failed"}}))
    , attempts_fenced(
          add_counter(r, attempts, attempts_help, {{"result", "fenced"}}))
    , attempts_closed(
          add_counter(r, attempts, attempts_help, {{"result", "closed"}}))
    , steps_run(add_counter(r, steps, steps_help, {{"result", "run"}}))
    , steps_failed(add_counter(r, steps, steps_help, {{"result", "failed"}}))
    , steps_repeated(
          add_counter(r, steps, steps_help, {{"result", "repeated"}}))
    , steps_fenced(add_counter(r, steps, steps_help, {{"result", "fenced"}}))
    , steps_refused(add_counter(r, steps, steps_help, {{"result", "refused"}}))
    , steps_resent(add_counter(r, steps, steps_help, {{"result", "resent"}}))
    , tokens(add_counter(
          r, "oleanderhinge_agent_tokens_total", "Tokens sent to entry nodes"))
    , calls_answered(
          add_counter(r, calls, calls_help, {{"result", "answered"}}))
    , calls_not_run(add_counter(r, calls, calls_help, {{"result", "not_run"}}))
    , calls_may_have_run(
          add_counter(r, calls, calls_help, {{"result", "may_have_run"}}))
    , orders_applied(
          add_counter(r, orders, orders_help, {{"result", "applied"}}))
    , orders_refused(
          add_counter(r, orders, orders_help, {{"result", "refused"}}))
    , announcements(add_counter(
          r,
          "oleanderhinge_agent_announcements_total",
          "Announcements sent to entry nodes"))
    , unexpected_messages(add_counter(
          r,
          "oleanderhinge_agent_unexpected_messages_total",
          "Messages that the role of the sender does not allow"))
    , step_seconds(net::add_histogram(
          r,
          "oleanderhinge_agent_step_seconds",
          "Time of a step on the engine",
          second_bounds))
    , call_seconds(net::add_histogram(
          r,
          "oleanderhinge_agent_call_seconds",
          "Time of a call on the service",
          second_bounds))
    , attempts_open(add_gauge(
          r, "oleanderhinge_agent_attempts_open", "Attempts that are open"))
    , calls_open(
          add_gauge(r, "oleanderhinge_agent_calls_open", "Calls in progress"))
    , slots_used(add_gauge(r, "oleanderhinge_agent_slots_used", "Slots in use"))
    , slot_limit(
          add_gauge(r, "oleanderhinge_agent_slot_limit", "Limit of slots"))
    , queued(add_gauge(r, "oleanderhinge_agent_queued", "Work that waits"))
    , links(
          add_gauge(r, "oleanderhinge_agent_links", "Links to other processes"))
    , serving(add_gauge(
          r,
          "oleanderhinge_agent_serving",
          "1 while new work is taken, else 0"))
{
}

} // namespace oleanderhinge::agent::internal
