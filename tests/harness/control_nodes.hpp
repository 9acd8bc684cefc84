// Self-managed control nodes on loopback addresses, each with a clock of its
// own, whose VMs can be frozen, suspended, killed, wiped and replaced.
//
// Example:
//   control_nodes nodes(3);
//   ASSERT_TRUE(nodes.put(0, 1));
//   nodes.halt(0);
//   nodes.resume(0, halt_kind::suspend);
#pragma once

#include "tests/harness/http.hpp"
#include "tests/harness/processes.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oleanderhinge::tests
{

// Which clocks count the time during which a VM stands still.
enum class halt_kind : std::uint8_t {
    // All: the process was stopped.
    freeze,
    // CLOCK_BOOTTIME and the time of day: the VM was suspended.
    suspend,
    // The time of day only: the hypervisor paused the VM.
    pause,
};

// Answer to a read of the forwarding table.
struct table_read {
    unsigned status = 0;
    // 0 unless the status is 200.
    std::uint64_t version = 0;
};

// The group as a node sees it.
struct group_view {
    std::string role;
    bool has_quorum = false;
    // Addresses.
    std::set<std::string> voters;
};

// Questions to nodes may come from several threads.
class control_nodes
{
public:
    // Starts them as the seeds of a new group that bears the loss of a
    // minority.
    explicit control_nodes(std::size_t count);
    control_nodes(const control_nodes&) = delete;
    control_nodes& operator=(const control_nodes&) = delete;

    // One answer of the node, without redirects.
    http_reply
    ask(std::size_t node,
        const http_query& query,
        std::chrono::milliseconds limit = std::chrono::seconds(1)) const;
    // The answer after up to two redirects.
    http_reply follow(std::size_t node, const http_query& query) const;
    // Whether the table of this version was acknowledged, after up to two
    // redirects.
    bool put(std::size_t node, std::uint64_t version) const;
    // Reads the table, after up to two redirects.
    table_read read(std::size_t node) const;
    // Reads the table at the node itself.
    table_read read_at(
        std::size_t node,
        std::chrono::milliseconds limit = std::chrono::seconds(1)) const;
    // Throws std::runtime_error if the content is not that of its version.
    static table_read parse_read(const http_reply& reply);
    // Table with routes that depend on the version.
    static std::string table_of(std::uint64_t version);

    // Node that answers a read by itself; empty without one.
    std::optional<std::size_t> leader() const;

    // The query that `view` sends.
    static http_query status_query();
    // Empty if the node does not answer.
    group_view view(std::size_t node) const;
    // Whether these nodes, each with its present disk, are all voters there
    // are, so that the group bears the loss of one more.
    bool is_whole(const std::vector<std::size_t>& expected) const;

    // Stops the process, and lets it go on with clocks as after `kind`.
    void halt(std::size_t node);
    void resume(std::size_t node, halt_kind kind);
    void kill(std::size_t node);
    // Starts it with the disk that it had.
    void start(std::size_t node);
    // Kills it and starts it with an empty disk.
    void wipe(std::size_t node);
    // Kills it for good; a new node at another address takes its place.
    std::size_t replace(std::size_t node);

    // A gateway that knows the nodes that are there as seeds. It may be killed
    // by its name and started again.
    void start_gateway(std::size_t gateway);
    // Version in force at the gateway; 0 if it has none or does not answer.
    std::uint64_t version_at_gateway(std::size_t gateway) const;
    static std::string gateway_name(std::size_t gateway);

    bool is_halted(std::size_t node) const;
    std::size_t count() const { return this->nodes.size(); }
    // False for a node that was replaced.
    bool is_present(std::size_t node) const;
    static std::string address(std::size_t node);
    static std::string name(std::size_t node);

    const std::uint16_t admin = processes::free_port();
    processes run;

private:
    struct node_state {
        bool is_present = true;
        bool first_start = true;
        std::optional<std::chrono::steady_clock::time_point> halted_at;
        std::int64_t monotonic_stopped_ns = 0;
        std::int64_t boot_stopped_ns = 0;
    };
    std::size_t add(bool first_start);
    // Passes the stopped times to the clocks of the process.
    void write_clock(std::size_t node);
    std::string data_folder(std::size_t node) const;
    // Endpoints at `port` of as many nodes as there were seeds at first,
    // without those that are gone and `except`.
    std::string
    seeds(std::uint16_t port, std::optional<std::size_t> except = {}) const;

    const std::uint16_t links = processes::free_port();
    const std::uint16_t management = processes::free_port();
    const std::uint16_t callers = processes::free_port();
    std::size_t seed_count = 0;
    std::vector<node_state> nodes;
};

} // namespace oleanderhinge::tests
