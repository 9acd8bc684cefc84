// The connections of an HTTP server with their sockets: carries out what
// `caller_table` decides. Thread-safe. Not for use outside net/.
//
// Example:
//   const auto id = callers->admit(address);
//   caller_place place(callers, *id, stream);
//   if (!place.hold(body.capacity())) ...
#pragma once

#include "oleanderhinge/net/caller_table.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace oleanderhinge::net::internal
{

class caller_registry : public std::enable_shared_from_this<caller_registry>
{
public:
    caller_registry(std::size_t max_connections, std::size_t memory);

    // A place for a connection from this address; empty if there is none.
    std::optional<caller_id> admit(const std::string& address);
    void attach(caller_id id, boost::beast::tcp_stream& stream);
    void detach(caller_id id);

    bool hold(caller_id id, std::size_t bytes);
    bool hold_to_serve(caller_id id, std::size_t bytes);
    void enter(caller_id id, caller_stage stage);
    void note_bytes(caller_id id, std::size_t bytes);
    base::duration silence(caller_id id);

    // Ends the present operation of the connections, or of those that wait for
    // a request of which no byte has arrived.
    void cancel(bool only_idle);

    // Open connections, with those that were told to close.
    std::size_t size() const;
    std::size_t held_bytes() const;
    caller_counters counters() const;

private:
    struct connection {
        // Unset until the connection is attached.
        boost::beast::tcp_stream* stream = nullptr;
        // Waits for the first byte of a request.
        bool waits = false;
    };

    // Each expects the mutex to be held.
    bool carry_out(const caller_decision& decision);
    void cancel_later(caller_id id, bool only_idle);

    mutable std::mutex mutex;
    caller_table table;
    std::unordered_map<caller_id, connection> connections;
    std::uint64_t next = 1;
};

// The place of one connection, given up at the end of its life.
class caller_place
{
public:
    caller_place(
        std::shared_ptr<caller_registry> registry,
        caller_id id,
        boost::beast::tcp_stream& stream);
    ~caller_place();
    caller_place(const caller_place&) = delete;
    caller_place& operator=(const caller_place&) = delete;

    bool hold(std::size_t bytes)
    {
        return this->callers->hold(this->id, bytes);
    }
    bool hold_to_serve(std::size_t bytes)
    {
        return this->callers->hold_to_serve(this->id, bytes);
    }
    void enter(caller_stage stage) { this->callers->enter(this->id, stage); }
    void note_bytes(std::size_t bytes)
    {
        this->callers->note_bytes(this->id, bytes);
    }
    base::duration silence() const { return this->callers->silence(this->id); }

private:
    const std::shared_ptr<caller_registry> callers;
    const caller_id id;
};

} // namespace oleanderhinge::net::internal
