#include "oleanderhinge/base/hash.hpp"
#include "oleanderhinge/gateway/internal/attempt.hpp"

#include <boost/asio/error.hpp>
#include <boost/endian/conversion.hpp>
#include <spdlog/spdlog.h>

#include <cstring>
#include <string_view>
#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
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

// Identifies a request among its repetitions: the key is equal, in every
// gateway, for requests of one customer with the same target and body. The
// customer is part of it, so that nobody can have another customer's request
// refused. The hash is cryptographic, so that nobody can find a body with the
// key of another request.
base::prompt_part repetition_key(forwarding_request& request)
{
    if (!request.repetition_key) {
        std::string text;
        const auto body = base::sha256(*request.body);
        for (const auto part :
             {std::string_view(request.customer.value()),
              std::string_view(request.incoming.method_string()),
              std::string_view(request.incoming[http::field::host]),
              std::string_view(request.incoming.target())})
            text.append(std::to_string(part.size())).append(":").append(part);
        text.append(body.begin(), body.end());
        const auto digest = base::sha256(text);
        std::uint64_t key = 0;
        std::memcpy(&key, digest.data(), sizeof key);
        request.repetition_key =
            base::prompt_part{boost::endian::big_to_native(key)};
    }
    return *request.repetition_key;
}

// An attempt at the request, as evidence about the request itself.
fleet::prompt
as_whole(forwarding_request& request, std::uint32_t attempt_number)
{
    return fleet::whole_request(
        repetition_key(request),
        base::prompt_part{
            base::stable_hash(request.metadata.id, attempt_number)});
}

// The present attempt.
fleet::prompt as_whole(forwarding_request& request)
{
    return as_whole(request, request.attempts);
}

} // namespace

void forwarder::share(const wire::crash_evidence& news) const
{
    if (!fleet::is_empty(news) && this->options.share_evidence)
        this->options.share_evidence(news);
}

// Notes a crash if the connection to the first server broke off before the
// first event, and the server's process is gone. A request that the gateway
// ended, or whose prompt servers have answered before, is no evidence.
asio::awaitable<void> forwarder::note_crash(
    forwarding_request& request,
    const attempt_result& result,
    const wire::endpoint& server,
    std::uint32_t attempt_number)
{
    if (request.events.event_count != 0 || !request.waits_for.address.empty() ||
        result.why.state != base::execution::may_have_run ||
        result.why.code == failure_code::deadline_exceeded ||
        result.timed_out || steady_now() >= request.deadline)
        co_return;
    const bool crashed = co_await is_process_gone(this->io, server);
    if (!crashed)
        co_return;
    const auto now = base::monotonic_now();
    auto news = fleet::note_crash(
        this->quarantine, request.metadata.prompt, server, now);
    const auto suspected_parts =
        news.crashes.empty() ? 0 : news.crashes.front().shared.size();
    const auto whole = fleet::note_crash(
        this->quarantine, as_whole(request, attempt_number), server, now);
    news.crashes.insert(
        news.crashes.end(), whole.crashes.begin(), whole.crashes.end());
    this->stats.crashes.Increment();
    spdlog::warn(
        "event=server_crashed request={} server={}:{} repetition_key={:x} "
        "suspected_parts={} quarantined_parts={}",
        request.metadata.id,
        server.address,
        server.port,
        repetition_key(request).value(),
        suspected_parts,
        fleet::quarantined_parts(this->quarantine, now));
    this->share(news);
}

// An answer to the request has begun, which shows that it crashes no server.
void forwarder::note_answer(forwarding_request& request)
{
    const auto now = base::monotonic_now();
    // Taken before the answer clears the last suspect.
    const bool suspects = fleet::has_suspects(this->quarantine);
    this->share(
        fleet::note_answer(this->quarantine, request.metadata.prompt, now));
    if (suspects)
        this->share(
            fleet::note_answer(this->quarantine, as_whole(request), now));
}

// The refusal of a request that is in quarantine, as a whole or for one of its
// parts.
std::optional<base::verdict>
forwarder::quarantine_verdict(forwarding_request& request)
{
    if (request.head_sent || !fleet::has_suspects(this->quarantine))
        return std::nullopt;
    const auto now = base::monotonic_now();
    auto end = fleet::quarantined_until(
        this->quarantine, request.metadata.prompt, now);
    const auto whole_end =
        fleet::quarantined_until(this->quarantine, as_whole(request), now);
    if (!end && !whole_end)
        return std::nullopt;
    end = std::max(end.value_or(now), whole_end.value_or(now));
    this->stats.quarantined.Increment();
    const std::chrono::duration<double> spread =
        quarantine_retry_spread * this->random.unit();
    return base::not_run(
        failure_code::quarantined,
        whole_end ? "servers crashed on this request"
                  : "servers crashed on a part of this prompt",
        std::chrono::ceil<milliseconds>(*end - now) +
            std::chrono::duration_cast<milliseconds>(spread));
}

// False if the last attempt may have crashed its server and another one is
// likely to crash one more.
bool forwarder::may_repeat_after_crash(
    forwarding_request& request, const base::verdict& why) const
{
    return request.head_sent || why.state != base::execution::may_have_run ||
           !fleet::has_suspects(this->quarantine) ||
           (fleet::may_repeat_after_crash(
                this->quarantine, request.metadata.prompt) &&
            fleet::may_repeat_after_crash(this->quarantine, as_whole(request)));
}

} // namespace oleanderhinge::gateway
