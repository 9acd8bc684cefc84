// Records the signals in the answers of backend servers: reads them, updates
// the selector, counts and logs.
//
// Used on the gateway's thread only.
//
// Example:
//   signal_recorder recorder(selector, stats, {});
//   recorder.record(
//       server, status, protocol.read_answer(status, fields),
//       asked, now);
//   recorder.tick(now); // ten times a second
#pragma once

#include "oleanderhinge/gateway/metrics.hpp"
#include "oleanderhinge/gateway/protocol_adapter.hpp"
#include "oleanderhinge/gateway/request_log.hpp"
#include "oleanderhinge/gateway/server_choice.hpp"

#include <functional>
#include <optional>

namespace oleanderhinge::gateway
{

struct signal_options {
    // Longest back-off that a server gets, whatever it asks for.
    base::duration max_backoff = no_backoff_limit;
    std::uint64_t seed = 1;
    // Called with statements of limits, for control; null: none.
    std::function<void(const wire::server_limits&)> share_limits;
};

class signal_recorder
{
public:
    signal_recorder(
        server_selector& selector, metrics& stats, signal_options options);

    // Records the signals of one answer from this server. `asked`: when the
    // caller's request was sent that it answers; empty for any other answer,
    // whose lack of a limit ends none.
    void record(
        const server_incarnation& server,
        unsigned status,
        const answer_metadata& answer,
        std::optional<base::time_point> asked,
        base::time_point now);
    // Records limits that control has relayed.
    void
    record_relayed(const wire::server_limits& limits, base::time_point now);
    // Logs the back-offs and limits that have ended, updates the gateway's own
    // permits and the metrics.
    void tick(base::time_point now);

private:
    void record_backoff(
        const server_incarnation& server,
        const std::string& retry_after,
        base::time_point now);
    void record_limit(
        const server_incarnation& server,
        unsigned status,
        const answer_metadata& answer,
        std::optional<base::time_point> asked,
        base::time_point now);
    void update_permits(base::time_point now);

    server_selector& selector;
    metrics& stats;
    const signal_options options;
    base::random_source random;
    // Limits the lines about unreadable fields and extended back-offs.
    request_log log;
};

} // namespace oleanderhinge::gateway
