// Counters, gauges and histograms of an agent.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace oleanderhinge::agent::internal
{

struct metrics {
    explicit metrics(prometheus::Registry& registry);

    prometheus::Counter& attempts_granted;
    prometheus::Counter& attempts_refused;
    prometheus::Counter& attempts_failed;
    prometheus::Counter& attempts_fenced;
    prometheus::Counter& attempts_closed;
    prometheus::Counter& steps_run;
    prometheus::Counter& steps_failed;
    prometheus::Counter& steps_repeated;
    prometheus::Counter& steps_fenced;
    prometheus::Counter& steps_refused;
    prometheus::Counter& steps_resent;
    prometheus::Counter& tokens;
    prometheus::Counter& calls_answered;
    prometheus::Counter& calls_not_run;
    prometheus::Counter& calls_may_have_run;
    prometheus::Counter& orders_applied;
    prometheus::Counter& orders_refused;
    prometheus::Counter& announcements;
    prometheus::Counter& unexpected_messages;
    prometheus::Histogram& step_seconds;
    prometheus::Histogram& call_seconds;
    prometheus::Gauge& attempts_open;
    prometheus::Gauge& calls_open;
    prometheus::Gauge& slots_used;
    prometheus::Gauge& slot_limit;
    prometheus::Gauge& queued;
    prometheus::Gauge& links;
    prometheus::Gauge& serving;
};

} // namespace oleanderhinge::agent::internal
