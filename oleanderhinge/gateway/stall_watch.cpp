#include "oleanderhinge/gateway/stall_watch.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace oleanderhinge::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

// A stream without progress for this long is looked into: events come every 40
// ms, first events within 200 ms, and a pause of 250 ms makes an answer late.
constexpr auto suspicious_pause = milliseconds(250);
// The state of one server is asked for at most this often.
constexpr auto ask_interval = milliseconds(300);
// Servers answer questions and orders at once.
constexpr auto answer_limit = milliseconds(200);
constexpr std::size_t kept_connections = 1;

bool stands_still(const forwarding_request& r, steady_time now)
{
    return r.in_attempt && r.line && !r.changes_path &&
           now >= r.progress + suspicious_pause;
}

} // namespace

stall_watch::stall_watch(
    asio::io_context& context,
    const dialect& dialect_in,
    server_selector& selector_in,
    metrics& numbers_in,
    std::function<void(const wire::endpoint&)> suspect_in)
    : io(context)
    , speak(dialect_in)
    , selector(selector_in)
    , numbers(numbers_in)
    , suspect(std::move(suspect_in))
    , client(context, kept_connections)
{
}

void stall_watch::add(const request_pointer& request)
{
    this->requests.insert_or_assign(request->facts.id, request);
}

void stall_watch::remove(const std::string& id)
{
    this->requests.erase(id);
}

void stall_watch::tick()
{
    const auto now = steady_now();
    this->selector.first_event_waits.clear();
    for (const auto& [id, r] : this->requests) {
        if (r->in_attempt && r->line && r->events.taken == 0) {
            auto& longest = this->selector.first_event_waits[r->line->server()];
            longest = std::max(
                longest,
                std::chrono::duration_cast<base::duration>(now - r->progress));
        }
        if (!stands_still(*r, now))
            continue;
        auto& last = this->asked[r->line->server()];
        if (now < last + ask_interval)
            continue;
        last = now;
        asio::co_spawn(this->io, this->ask(r->line->server()), asio::detached);
    }
}

asio::awaitable<void> stall_watch::ask(wire::endpoint first)
{
    const auto started = steady_now();
    auto call = this->speak.ask_state();
    const auto outcome = co_await this->client.call(
        first, std::move(call), answer_limit, net::reuse::allowed);
    if (outcome.failure == net::http_failure::none) {
        for (const auto& stalled : this->speak.read_stalls(outcome.answer.body))
            this->on_stall(stalled, started);
        co_return;
    }
    // Whatever began there waits for the server itself.
    for (const auto& [id, r] : this->requests)
        if (stands_still(*r, started) && r->line->server() == first) {
            this->on_stall({id, first}, started);
            break;
        }
}

void stall_watch::note_suspicion(const stalled_request& stalled)
{
    if (!fleet::suspect(
            this->selector.servers, stalled.waits_for, base::monotonic_now()))
        return;
    ++this->selector.generation;
    spdlog::warn(
        "event=server_suspected address={}:{} request={}",
        stalled.waits_for.address,
        stalled.waits_for.port,
        stalled.request);
    this->suspect(stalled.waits_for);
}

void stall_watch::on_stall(const stalled_request& stalled, steady_time asked_at)
{
    if (stalled.waits_for.address.empty())
        return;
    this->note_suspicion(stalled);
    const auto found = this->requests.find(stalled.request);
    // Only an attempt that is still without progress is touched.
    if (found == this->requests.end() ||
        !stands_still(*found->second, asked_at))
        return;
    auto& r = *found->second;
    if (r.parts.empty() || stalled.waits_for == r.parts.front().address) {
        r.waits_for = stalled.waits_for;
        r.line->cancel();
        return;
    }
    r.changes_path = true;
    asio::co_spawn(
        this->io,
        this->change_path(found->second, stalled.waits_for),
        asio::detached);
}

asio::awaitable<void>
stall_watch::change_path(request_pointer request, wire::endpoint waits_for)
{
    auto& r = *request;
    const auto line = r.line;
    auto avoided = r.tried;
    avoided.insert(waits_for);
    auto parts = choose_continuation(
        this->selector,
        *r.service,
        r.parts.front(),
        avoided,
        base::monotonic_now());
    net::http_outcome outcome;
    if (!parts.empty()) {
        auto call = this->speak.change_path(r.facts.id, parts);
        outcome = co_await this->client.call(
            parts.front().address,
            std::move(call),
            answer_limit,
            net::reuse::allowed);
    }
    r.changes_path = false;
    // The attempt may have ended meanwhile.
    if (!r.in_attempt || r.line != line)
        co_return;
    const bool changed = !parts.empty() &&
                         outcome.failure == net::http_failure::none &&
                         outcome.answer.status < 300;
    spdlog::info(
        "event=path_changed request={} waits_for={}:{} parts={} outcome={} "
        "paused_ms={:.0f}",
        r.facts.id,
        waits_for.address,
        waits_for.port,
        parts.size(),
        parts.empty() ? "none"
        : changed     ? "changed"
                      : std::to_string(outcome.answer.status),
        ms_since(r.progress));
    if (!changed) {
        r.waits_for = waits_for;
        line->cancel();
        co_return;
    }
    this->numbers.changed_paths.Increment();
    r.parts = std::move(parts);
    r.path = fleet::describe(r.parts);
    r.progress = steady_now();
}

} // namespace oleanderhinge::gateway
