// Extension points of the control daemon for a platform adapter: calls on the
// admin endpoint, orders to backend servers, and queries of the engines' load.
//
// Example:
//   run_program(argc, argv, {.extend_admin = ..., .make_order_sender = ...});
#pragma once

#include "oleanderhinge/base/time.hpp"
#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/fleet/placement.hpp"
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace oleanderhinge::control
{

// Servers wait for the acknowledgment of their end for a second before they go
// to another node.
inline constexpr base::duration leave_limit = std::chrono::milliseconds(800);

enum class operation_state : std::uint8_t {
    done,
    // Another node is leader; see `leader`.
    not_leader,
    // No quorum, or the result is unknown. It is safe to repeat the operation.
    unavailable,
};

struct replace_outcome {
    operation_state state = operation_state::unavailable;
    // Admin endpoint of the leader, if `state` is `not_leader`.
    wire::endpoint leader;
    control_state::replace_reply reply;
};

struct document_outcome {
    operation_state state = operation_state::unavailable;
    wire::endpoint leader;
    std::uint64_t version = 0;
    std::string document;
};

// Commands and queries that the adapter may use. Thread-safe; callbacks run on
// any thread.
struct operations {
    // Replaces the forwarding table if the version is higher than the present
    // one. The outcome is `done` once the command is durable on a majority of
    // the members and applied.
    std::function<void(
        control_state::replace_forwarding,
        std::function<void(replace_outcome)>)>
        replace_forwarding;
    // Reads the newest forwarding table, on the leader only.
    std::function<void(std::function<void(document_outcome)>)> read_forwarding;
    // Applies the report of a backend server and relays changes to the gateways
    // and the other members. False if this node reaches none of them; then the
    // report must go to another node.
    std::function<bool(wire::server_record)> report_server;
    // Applies the notice that a process of a backend server ends, and relays
    // it likewise. The outcome is true once the end is durable on a majority
    // of the members, and false if that is not so after `leave_limit`; then the
    // notice must go to another node.
    std::function<void(wire::server_record, std::function<void(bool)>)>
        end_server;
};

enum class order_result : std::uint8_t {
    accepted,
    refused,
    // No answer was received; the order may still be carried out.
    unknown,
};

using order_sender = std::function<void(
    const fleet::layer_assignment&, std::function<void(order_result)>)>;

// Queries the load of an engine. The result is empty without a usable answer.
using load_reader = std::function<void(
    const wire::endpoint&,
    std::function<void(std::optional<wire::engine_load>)>)>;

struct extension {
    // Returns a handler that serves the calls of the adapter and passes all
    // others to `admin`.
    std::function<net::http_handler(operations, net::http_handler admin)>
        extend_admin;
    std::function<order_sender(boost::asio::io_context&)> make_order_sender;
    std::function<load_reader(boost::asio::io_context&)> make_load_reader;
};

} // namespace oleanderhinge::control
