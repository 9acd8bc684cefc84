// The part of `signal_recorder` that concerns the limits of servers.
#include "oleanderhinge/gateway/signal_recorder.hpp"

#include <spdlog/spdlog.h>

namespace oleanderhinge::gateway
{

namespace
{

// Limit on the part of an unreadable field that is logged.
constexpr std::size_t max_logged_value = 40;
// A server of another process refuses with this status.
constexpr unsigned misdirected = 421;

void log_limit(const wire::server_limit& limit, const char* source)
{
    if (limit.per_second)
        spdlog::info(
            "event=server_limit server={} started_ms={} per_second={:.2f} "
            "from={}",
            limit.server.value(),
            limit.started_ms,
            *limit.per_second,
            source);
    else
        spdlog::info(
            "event=server_limit server={} started_ms={} per_second=none "
            "from={}",
            limit.server.value(),
            limit.started_ms,
            source);
}

// Whether the lack of a limit in the answer shows that the server has none.
bool shows_no_limit(unsigned status, const answer_metadata& answer)
{
    return status != misdirected && answer.request_limit.empty() &&
           (answer.mark == server_mark::present || answer.not_run);
}

} // namespace

void signal_recorder::record_limit(
    const server_incarnation& server,
    unsigned status,
    const answer_metadata& answer,
    std::optional<base::time_point> asked,
    base::time_point now)
{
    wire::server_limit limit{server.id, server.started_ms, {}, 0};
    if (!answer.request_limit.empty()) {
        limit.per_second = fleet::parse_limit(answer.request_limit);
        if (!limit.per_second) {
            this->stats.ignored_limits.Increment();
            if (this->log.try_take(now))
                spdlog::warn(
                    "event=server_limit_ignored server={} value=\"{}\"",
                    server.id.value(),
                    answer.request_limit.substr(0, max_logged_value));
            return;
        }
    } else if (!asked || !shows_no_limit(status, answer)) {
        return;
    }
    const auto effect = note_answer(
        this->selector.permits,
        server,
        limit.per_second,
        asked.value_or(now),
        now);
    if (effect.changed)
        log_limit(limit, "answer");
    if (effect.to_share && this->options.share_limits)
        this->options.share_limits({{limit}});
}

void signal_recorder::record_relayed(
    const wire::server_limits& limits, base::time_point now)
{
    for (const auto& item : limits.items)
        if (note_statement(this->selector.permits, item, now))
            log_limit(item, "control");
}

void signal_recorder::update_permits(base::time_point now)
{
    auto& permits = this->selector.permits;
    for (const auto& id :
         update(permits, this->selector.gateways, this->random, now))
        log_limit(
            {id, incarnation_of(this->selector, id).started_ms, {}, 0}, "age");
    this->stats.limited_servers.Set(double(count_limits(permits, now)));
    this->stats.own_permits.Set(double(permits.own.size()));
}

} // namespace oleanderhinge::gateway
