#include "oleanderhinge/gateway/signal_recorder.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace
{

// Limit on the part of an unreadable field that is logged.
constexpr std::size_t max_logged_value = 40;
// A back-off that grows by less is not logged again. Requests that were sent
// before the first refusal extend it by fractions of a second.
constexpr auto min_logged_extension = std::chrono::seconds(10);

double to_ms(base::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// The longest remaining back-off of the processes that control reports.
base::duration
longest_backoff(const server_selector& selector, base::time_point now)
{
    base::duration longest{0};
    for (const auto& [id, signal] : selector.signals.servers) {
        if (!signal.backoff_until)
            continue;
        const auto end =
            backoff_end(selector.signals, incarnation_of(selector, id), now);
        if (end)
            longest = std::max(longest, *end - now);
    }
    return longest;
}

} // namespace

signal_recorder::signal_recorder(
    server_selector& selector_in, metrics& stats_in, signal_options options_in)
    : selector(selector_in)
    , stats(stats_in)
    , options(std::move(options_in))
    , random(options.seed)
{
}

void signal_recorder::record(
    const server_incarnation& server,
    unsigned status,
    const answer_metadata& answer,
    std::optional<base::time_point> asked,
    base::time_point now)
{
    if (answer.leaving && note_leaving(this->selector.signals, server)) {
        ++this->selector.generation;
        this->stats.servers_leaving.Increment();
        spdlog::info(
            "event=server_leaving server={} started_ms={} status={}",
            server.id.value(),
            server.started_ms,
            status);
    }
    if (!answer.retry_after.empty())
        this->record_backoff(server, answer.retry_after, now);
    this->record_limit(server, status, answer, asked, now);
}

void signal_recorder::record_backoff(
    const server_incarnation& server,
    const std::string& retry_after,
    base::time_point now)
{
    const auto requested = parse_retry_after(retry_after);
    if (!requested) {
        this->stats.ignored_retry_after.Increment();
        if (this->log.try_take(now))
            spdlog::warn(
                "event=retry_after_ignored server={} value=\"{}\"",
                server.id.value(),
                retry_after.substr(0, max_logged_value));
        return;
    }
    if (requested->count() == 0)
        return;
    const auto granted =
        backoff_time(*requested, this->options.max_backoff, this->random);
    this->stats.backoffs.Increment();
    const auto before = backoff_end(this->selector.signals, server, now);
    const auto until = now + granted;
    if (note_backoff(this->selector.signals, server, until, now))
        ++this->selector.generation;
    else if (
        !before || until < *before + min_logged_extension ||
        !this->log.try_take(now))
        return;
    spdlog::info(
        "event=server_backoff server={} started_ms={} requested_ms={:.0f} "
        "granted_ms={:.0f}",
        server.id.value(),
        server.started_ms,
        to_ms(*requested),
        to_ms(granted));
}

void signal_recorder::tick(base::time_point now)
{
    for (const auto& id : end_backoffs(this->selector.signals, now)) {
        ++this->selector.generation;
        spdlog::info("event=server_backoff_ended server={}", id.value());
    }
    this->update_permits(now);
    this->stats.longest_backoff_seconds.Set(
        to_ms(longest_backoff(this->selector, now)) / 1000);
}

} // namespace oleanderhinge::gateway
