// Metrics of a gateway.
//
// Example:
//   metrics stats(registry);
//   stats.attempts.Increment();
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace oleanderhinge::gateway
{

struct metrics {
    explicit metrics(prometheus::Registry& registry);

    // Counts an answer by its outcome: a status, a status with a failure code,
    // or how the connection ended (docs/OPERATIONS.md).
    void count_answer(const std::string& outcome);

    // Counts a second attempt beside the first: "made", and then "won" or
    // "lost" if its answer or that of the first one was passed on, "failed" if
    // neither was.
    void count_hedge(const std::string& event);
    // Counts a second attempt that was due and not made.
    void count_withheld_hedge(const std::string& reason);

    prometheus::Family<prometheus::Counter>& answers;
    prometheus::Family<prometheus::Counter>& hedges;
    prometheus::Family<prometheus::Counter>& withheld_hedges;
    prometheus::Counter& cancelled_attempts;
    prometheus::Counter& attempts;
    prometheus::Counter& repeats;
    prometheus::Counter& resumed_streams;
    prometheus::Counter& changed_paths;
    prometheus::Counter& left_paths;
    prometheus::Counter& takeovers;
    prometheus::Counter& failed_takeovers;
    prometheus::Counter& crashes;
    prometheus::Counter& quarantined;
    prometheus::Counter& servers_leaving;
    prometheus::Counter& backoffs;
    prometheus::Counter& ignored_retry_after;
    prometheus::Counter& ignored_limits;
    prometheus::Counter& permits_taken;
    prometheus::Counter& own_permits_taken;
    prometheus::Counter& limit_refusals;
    prometheus::Counter& withheld;
    prometheus::Counter& events;
    prometheus::Counter& log_lines_dropped;
    prometheus::Histogram& first_byte_seconds;
    prometheus::Histogram& gap_seconds;
    prometheus::Gauge& in_progress;
    prometheus::Gauge& table_version;
    prometheus::Gauge& servers;
    prometheus::Gauge& quarantined_parts;
    prometheus::Gauge& excluded_servers;
    prometheus::Gauge& longest_backoff_seconds;
    prometheus::Gauge& limited_servers;
    prometheus::Gauge& own_permits;
    prometheus::Gauge& idle_connections;
    prometheus::Gauge& answer_bytes;
    prometheus::Gauge& control_nodes;
    prometheus::Gauge& control_links;
};

} // namespace oleanderhinge::gateway
