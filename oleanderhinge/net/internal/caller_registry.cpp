#include "oleanderhinge/net/internal/caller_registry.hpp"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include <bit>
#include <utility>

namespace oleanderhinge::net::internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

bool has_bytes(beast::tcp_stream& stream)
{
    boost::system::error_code failed;
    return stream.socket().available(failed) > 0 && !failed;
}

std::uint64_t total(const caller_counters& counters)
{
    return counters.closed_for_memory + counters.closed_for_place +
           counters.refused_memory + counters.refused_place;
}

} // namespace

caller_registry::caller_registry(
    std::size_t max_connections, std::size_t memory)
    : table{
          .max_connections = max_connections,
          .memory = {.limit = memory},
          .callers = {},
          .counters = {}}
{
}

std::optional<caller_id> caller_registry::admit(const std::string& address)
{
    const std::lock_guard lock(this->mutex);
    const caller_id id{this->next++};
    const auto decision =
        net::admit(this->table, id, address, base::monotonic_now());
    if (!this->carry_out(decision))
        return std::nullopt;
    this->connections.emplace(id, connection{});
    return id;
}

void caller_registry::attach(caller_id id, beast::tcp_stream& stream)
{
    const std::lock_guard lock(this->mutex);
    this->connections.at(id).stream = &stream;
}

void caller_registry::detach(caller_id id)
{
    const std::lock_guard lock(this->mutex);
    this->connections.erase(id);
    remove(this->table, id);
}

bool caller_registry::hold(caller_id id, std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    return this->carry_out(
        net::hold(this->table, id, bytes, base::monotonic_now()));
}

bool caller_registry::hold_to_serve(caller_id id, std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    return this->carry_out(
        net::hold_to_serve(this->table, id, bytes, base::monotonic_now()));
}

void caller_registry::enter(caller_id id, caller_stage stage)
{
    const std::lock_guard lock(this->mutex);
    net::enter(this->table, id, stage, base::monotonic_now());
    const auto found = this->connections.find(id);
    if (found != this->connections.end())
        found->second.waits = stage == caller_stage::idle ||
                              stage == caller_stage::new_connection;
}

void caller_registry::note_bytes(caller_id id, std::size_t bytes)
{
    const std::lock_guard lock(this->mutex);
    net::note_bytes(this->table, id, bytes, base::monotonic_now());
}

base::duration caller_registry::silence(caller_id id)
{
    const std::lock_guard lock(this->mutex);
    return net::silence(this->table, id, base::monotonic_now());
}

void caller_registry::cancel(bool only_idle)
{
    const std::lock_guard lock(this->mutex);
    for (const auto& [id, open] : this->connections)
        this->cancel_later(id, only_idle);
}

std::size_t caller_registry::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->connections.size();
}

std::size_t caller_registry::held_bytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.memory.used;
}

caller_counters caller_registry::counters() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.counters;
}

bool caller_registry::carry_out(const caller_decision& decision)
{
    for (const auto id : decision.closed)
        this->cancel_later(id, false);
    if (decision.granted && decision.closed.empty())
        return true;
    // The volume of the log stays bounded under a crowd.
    if (const auto& c = this->table.counters; std::has_single_bit(total(c)))
        spdlog::warn(
            "event=callers_limited connections={} held_bytes={} limit={} "
            "closed_for_memory={} closed_for_place={} refused_memory={} "
            "refused_place={}",
            this->table.callers.size(),
            this->table.memory.used,
            this->table.memory.limit,
            c.closed_for_memory,
            c.closed_for_place,
            c.refused_memory,
            c.refused_place);
    return decision.granted;
}

void caller_registry::cancel_later(caller_id id, bool only_idle)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end() || found->second.stream == nullptr)
        return;
    asio::post(
        found->second.stream->get_executor(),
        [self = this->shared_from_this(), id, only_idle] {
            const std::lock_guard lock(self->mutex);
            const auto still = self->connections.find(id);
            if (still == self->connections.end())
                return;
            auto& [stream, waits] = still->second;
            if (!only_idle || (waits && !has_bytes(*stream)))
                stream->cancel();
        });
}

caller_place::caller_place(
    std::shared_ptr<caller_registry> registry,
    caller_id own,
    beast::tcp_stream& stream)
    : callers(std::move(registry))
    , id(own)
{
    this->callers->attach(this->id, stream);
}

caller_place::~caller_place()
{
    this->callers->detach(this->id);
}

} // namespace oleanderhinge::net::internal
