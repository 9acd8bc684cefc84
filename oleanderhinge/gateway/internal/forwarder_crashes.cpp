#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <boost/asio/error.hpp>
#include <spdlog/spdlog.h>

#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using base::failure_code;
using std::chrono::milliseconds;

namespace
{

// Time for the new connection that shows whether a server has crashed.
constexpr auto probe_limit = milliseconds(300);
// Callers of quarantined requests return within this time after its end, so
// that the first of them shows whether it has to be renewed.
constexpr auto quarantine_retry_spread = std::chrono::seconds(60);

// A machine refuses connections to a port whose process is gone. One without
// power or behind a partition does not answer, and one whose process only
// closed a connection accepts a new one.
asio::awaitable<bool>
is_process_gone(asio::io_context& io, const wire::endpoint& server)
{
    upstream_connection probe(io, server, true);
    const auto failed = co_await probe.connect(steady_now() + probe_limit);
    co_return failed == asio::error::connection_refused;
}

} // namespace

void forwarder::share(const wire::crash_evidence& news) const
{
    if (!fleet::is_empty(news) && this->options.share_evidence)
        this->options.share_evidence(news);
}

// Notes a crash if the connection to the first server broke off before the
// first event, and the server's process is gone. A stream that the gateway
// cancelled, or whose prompt servers have answered before, is no evidence.
asio::awaitable<void> forwarder::note_crash(
    const forwarding_request& request, const attempt_result& result)
{
    if (request.events.event_count != 0 ||
        request.metadata.prompt.shared.empty() ||
        !request.waits_for.address.empty() ||
        result.why.state != base::execution::may_have_run ||
        result.why.code == failure_code::deadline_exceeded)
        co_return;
    const auto server = request.parts.front().address;
    const bool crashed = co_await is_process_gone(this->io, server);
    if (!crashed)
        co_return;
    const auto now = base::monotonic_now();
    const auto news = fleet::note_crash(
        this->quarantine, request.metadata.prompt, server, now);
    this->stats.crashes.Increment();
    spdlog::warn(
        "event=server_crashed request={} server={}:{} suspected_parts={} "
        "quarantined_parts={}",
        request.metadata.id,
        server.address,
        server.port,
        news.crashes.empty() ? 0 : news.crashes.front().shared.size(),
        fleet::quarantined_parts(this->quarantine, now));
    this->share(news);
}

// The refusal of a request with a quarantined part.
std::optional<base::verdict>
forwarder::quarantine_verdict(const forwarding_request& request)
{
    if (request.head_sent)
        return std::nullopt;
    const auto now = base::monotonic_now();
    const auto end = fleet::quarantined_until(
        this->quarantine, request.metadata.prompt, now);
    if (!end)
        return std::nullopt;
    this->stats.quarantined.Increment();
    const std::chrono::duration<double> spread =
        quarantine_retry_spread * this->random.unit();
    return base::not_run(
        failure_code::quarantined,
        "servers crashed on a part of this prompt",
        std::chrono::ceil<milliseconds>(*end - now) +
            std::chrono::duration_cast<milliseconds>(spread));
}

} // namespace oleanderhinge::gateway
