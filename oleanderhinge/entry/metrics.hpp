// Metrics of an entry node, in the Prometheus registry of the process.
//
// Example:
//   metrics m{registry};
//   m.request_finished(rank::urgent, "completed");
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/time.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <string>

namespace oleanderhinge::entry
{

// Thread-safe.
class metrics
{
public:
    explicit metrics(prometheus::Registry& registry);

    // `outcome` is "completed", "caller_gone" or the code of the failure.
    void request_finished(base::rank work_rank, const std::string& outcome);
    // `since_accepted` is the time from the request to its first token.
    void first_token(base::rank work_rank, base::duration since_accepted);
    // `since_last` is the time between two tokens of an answer.
    void token_interval(base::rank work_rank, base::duration since_last);
    // `result` is "granted", "refused", "failed" or "started".
    void attempt(const std::string& result);
    // `result` is "allowed" or why the retry was denied.
    void retry(const std::string& result);
    // `state` is the name of the wire::claim_state of a reply.
    void claim(const std::string& state);

    prometheus::Gauge& requests_in_progress;
    prometheus::Gauge& links;
    prometheus::Gauge& servers;
    prometheus::Gauge& config_revision;
    prometheus::Gauge& config_age_seconds;
    prometheus::Gauge& link_bytes_sent;
    prometheus::Gauge& link_bytes_received;
    prometheus::Gauge& udp_bytes_sent;
    prometheus::Gauge& udp_bytes_received;
    prometheus::Gauge& udp_refused;

private:
    using by_rank = std::array<prometheus::Histogram*, base::rank_count>;

    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Family<prometheus::Counter>& retries;
    prometheus::Family<prometheus::Counter>& claims;
    by_rank first_token_seconds{};
    by_rank token_interval_seconds{};
};

} // namespace oleanderhinge::entry
