// What an adapter adds to the control daemon: its calls on the admin endpoint
// and its way to give orders to backend servers.
//
// Example:
//   run_program(argc, argv, {.extend_admin = ..., .make_order_sender = ...});
#pragma once

#include "oleanderhinge/control_state/commands.hpp"
#include "oleanderhinge/fleet/placement.hpp"
#include "oleanderhinge/net/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace oleanderhinge::control
{

enum class operation_state : std::uint8_t {
    done,
    // Another node leads; see `leader`.
    not_leader,
    // No quorum, or the result is unknown. A repeat is harmless.
    unavailable,
};

struct replace_outcome {
    operation_state state = operation_state::unavailable;
    // Admin endpoint of the leader, with `not_leader`.
    wire::endpoint leader;
    control_state::replace_reply reply;
};

struct document_outcome {
    operation_state state = operation_state::unavailable;
    wire::endpoint leader;
    std::uint64_t version = 0;
    std::string document;
};

// Commands and queries for the calls of the adapter. Thread-safe; callbacks run
// on any thread.
struct operations {
    // Puts a table in force; done once it is durable on a majority.
    std::function<void(
        control_state::replace_forwarding,
        std::function<void(replace_outcome)>)>
        replace_forwarding;
    // The newest table in force.
    std::function<void(std::function<void(document_outcome)>)> read_forwarding;
    // Takes the report of a backend server and passes it on.
    std::function<void(wire::server_record)> report_server;
};

enum class order_result : std::uint8_t {
    accepted,
    refused,
    // No answer; the order may be carried out later.
    unknown,
};

using order_sender = std::function<void(
    const fleet::layer_assignment&, std::function<void(order_result)>)>;

// Asks an engine for its state; an empty result means no usable answer.
using load_reader = std::function<void(
    const wire::endpoint&,
    std::function<void(std::optional<wire::engine_load>)>)>;

struct extension {
    // Combines the handler of the admin API with the calls of the adapter.
    std::function<net::http_handler(operations, net::http_handler admin)>
        extend_admin;
    std::function<order_sender(boost::asio::io_context&)> make_order_sender;
    std::function<load_reader(boost::asio::io_context&)> make_load_reader;
};

} // namespace oleanderhinge::control
