#include "tests/harness/control_nodes.hpp"

#include "tests/harness/message_files.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <unistd.h>

namespace oleanderhinge::tests
{

namespace
{

using std::chrono::steady_clock;

constexpr const char* table_path = "/v1/forwarding-table";
const std::string token = "operators-only-token";
constexpr std::size_t max_redirects = 2;
constexpr const char* network = "127.0.0.";
// Number of the first node's address.
constexpr unsigned first_host = 20;
constexpr unsigned first_gateway_host = 200;

std::string at(const std::string& address, std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

// Further lines of the section [node] may follow.
std::string settings_of(const std::string& vm)
{
    return "[node]\nvm = " + vm +
           "\nregion = north\ndata_centre = a\n"
           "cluster_secret = secret-of-the-process-tests\n";
}

} // namespace

control_nodes::control_nodes(std::size_t count)
    : seed_count(count)
{
    for (std::size_t i = 0; i < count; ++i)
        this->add(true);
    for (std::size_t i = 0; i < count; ++i)
        this->start(i);
}

std::string control_nodes::name(std::size_t node)
{
    return "control-" + std::to_string(node);
}

std::string control_nodes::address(std::size_t node)
{
    return network + std::to_string(first_host + node);
}

std::string control_nodes::data_folder(std::size_t node) const
{
    return this->run.path("data-" + std::to_string(node));
}

std::size_t control_nodes::add(bool first_start)
{
    this->nodes.push_back({});
    this->nodes.back().first_start = first_start;
    const auto node = this->nodes.size() - 1;
    this->write_clock(node);
    return node;
}

std::string control_nodes::seeds(
    std::uint16_t port, std::optional<std::size_t> except) const
{
    std::string text;
    std::size_t named = 0;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (!this->nodes[i].is_present || named == this->seed_count ||
            i == except)
            continue;
        text += (named++ == 0 ? "" : ", ") + at(address(i), port);
    }
    return text;
}

void control_nodes::start(std::size_t node)
{
    const auto own = address(node);
    auto& state = this->nodes[node];
    const auto file = this->run.write(
        name(node) + ".ini",
        settings_of(own) + "data_folder = " + this->data_folder(node) +
            "\n[control]\nseeds = " +
            (state.first_start ? this->seeds(this->admin)
                               : this->seeds(this->admin, node)) +
            "\nfirst_start = " + (state.first_start ? "true" : "false") +
            "\ntolerated_losses = " +
            std::to_string((this->seed_count - 1) / 2) +
            "\n[link]\nlisten = " + at(own, this->links) +
            "\n[admin]\nlisten = " + at(own, this->admin) +
            "\ntoken = " + token +
            "\n[management]\nlisten = " + at(own, this->management) + "\n");
    this->run.start(
        name(node),
        {"oleanderhinge-control", "--config", file},
        {"LD_PRELOAD=" OLEANDERHINGE_STOPPED_CLOCK_LIBRARY,
         "OLEANDERHINGE_STOPPED_CLOCK=" +
             this->run.path(name(node) + ".clock")});
    state.first_start = false;
}

std::string control_nodes::gateway_name(std::size_t gateway)
{
    return "gateway-" + std::to_string(gateway);
}

void control_nodes::start_gateway(std::size_t gateway)
{
    const auto own = network + std::to_string(first_gateway_host + gateway);
    const auto file = this->run.write(
        gateway_name(gateway) + ".ini",
        settings_of(gateway_name(gateway)) +
            "[control]\nseeds = " + this->seeds(this->links) +
            "\nlink_port = " + std::to_string(this->links) +
            "\n[gateway]\nlisten = " + at(own, this->callers) +
            "\n[management]\nlisten = " + at(own, this->management) + "\n");
    this->run.start(
        gateway_name(gateway), {"oleanderhinge-gateway", "--config", file});
}

std::uint64_t control_nodes::version_at_gateway(std::size_t gateway) const
{
    http_query query{"GET", "/metrics"};
    query.host = network + std::to_string(first_gateway_host + gateway);
    const auto reply =
        call(this->management, query, std::chrono::milliseconds(1000));
    const std::string gauge = "\noleanderhinge_gateway_forwarding_version ";
    const auto found = reply.body.find(gauge);
    return reply.status != 200 || found == reply.body.npos
               ? 0
               : std::stoull(reply.body.substr(found + gauge.size()));
}

// In place, since the process has mapped the file.
void control_nodes::write_clock(std::size_t node)
{
    const auto& state = this->nodes[node];
    const std::int64_t stopped[] = {
        state.monotonic_stopped_ns, state.boot_stopped_ns};
    const auto path = this->run.path(name(node) + ".clock");
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    const bool written =
        ::pwrite(file, stopped, sizeof(stopped), 0) == sizeof(stopped);
    ::close(file);
    if (!written)
        throw std::runtime_error("cannot write " + path);
}

http_reply control_nodes::ask(
    std::size_t node,
    const http_query& query,
    std::chrono::milliseconds limit) const
{
    auto sent = query;
    sent.host = address(node);
    return call(this->admin, sent, limit);
}

http_reply
control_nodes::follow(std::size_t node, const http_query& query) const
{
    auto reply = this->ask(node, query);
    for (std::size_t i = 0; i < max_redirects && reply.status == 307; ++i) {
        const auto to = reply.header("Location");
        const std::string prefix = std::string("http://") + network;
        if (!to.starts_with(prefix))
            return {};
        reply =
            this->ask(std::stoul(to.substr(prefix.size())) - first_host, query);
    }
    return reply;
}

std::string control_nodes::table_of(std::uint64_t version)
{
    // The content shows the version, too.
    const auto odd = version % 2 == 1;
    return message(
        OLEANDERHINGE_SOURCE_DIR "/platform/testdata/soak/table.json",
        {{"version", std::to_string(version)},
         {"timeout", std::to_string(1000 + version)},
         {"safe", odd ? "alpha" : "beta"},
         {"once", "alpha"},
         {"stream", "alpha"},
         {"resume", "beta"}});
}

bool control_nodes::put(std::size_t node, std::uint64_t version) const
{
    const auto reply = this->follow(
        node,
        {"POST",
         table_path,
         table_of(version),
         {{"Content-Type", "application/json"}}});
    return reply.status == 200;
}

table_read control_nodes::parse_read(const http_reply& reply)
{
    if (reply.status != 200)
        return {reply.status, 0};
    const auto version =
        boost::json::parse(reply.body).at("version").to_number<std::uint64_t>();
    // Content of another version, or a part of it.
    if (reply.body != table_of(version))
        throw std::runtime_error("not what was sent under its version");
    return {reply.status, version};
}

table_read control_nodes::read(std::size_t node) const
{
    return parse_read(this->follow(node, {"GET", table_path}));
}

table_read
control_nodes::read_at(std::size_t node, std::chrono::milliseconds limit) const
{
    return parse_read(this->ask(node, {"GET", table_path}, limit));
}

std::optional<std::size_t> control_nodes::leader() const
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
        if (!this->is_present(i) || this->is_halted(i))
            continue;
        const auto status = this->read_at(i).status;
        if (status == 200 || status == 404)
            return i;
    }
    return std::nullopt;
}

void control_nodes::halt(std::size_t node)
{
    this->run.signal(name(node), SIGSTOP);
    this->nodes[node].halted_at = steady_clock::now();
}

void control_nodes::resume(std::size_t node, halt_kind kind)
{
    auto& state = this->nodes[node];
    const std::int64_t stopped_ns =
        std::chrono::nanoseconds(steady_clock::now() - *state.halted_at)
            .count();
    if (kind != halt_kind::freeze)
        state.monotonic_stopped_ns += stopped_ns;
    if (kind == halt_kind::pause)
        state.boot_stopped_ns += stopped_ns;
    this->write_clock(node);
    state.halted_at.reset();
    this->run.signal(name(node), SIGCONT);
}

void control_nodes::kill(std::size_t node)
{
    this->run.kill(name(node));
    this->nodes[node].halted_at.reset();
}

void control_nodes::wipe(std::size_t node)
{
    this->kill(node);
    std::filesystem::remove_all(this->data_folder(node));
    this->start(node);
}

std::size_t control_nodes::replace(std::size_t node)
{
    this->kill(node);
    this->nodes[node].is_present = false;
    const auto added = this->add(false);
    this->start(added);
    return added;
}

http_query control_nodes::status_query()
{
    return {"GET", "/v1/status", "", {{"Authorization", "Bearer " + token}}};
}

group_view control_nodes::view(std::size_t node) const
{
    const auto reply = this->ask(node, status_query());
    if (reply.status != 200)
        return {};
    const auto status = boost::json::parse(reply.body);
    group_view seen;
    seen.role = status.at("role").as_string();
    seen.has_quorum = status.at("quorum").as_bool();
    for (const auto& member : status.at("members").as_array())
        if (member.at("voter").as_bool())
            seen.voters.emplace(member.at("vm").as_string());
    return seen;
}

bool control_nodes::is_whole(const std::vector<std::size_t>& expected) const
{
    std::set<std::string> addresses;
    for (const auto node : expected)
        addresses.insert(address(node));
    return std::all_of(expected.begin(), expected.end(), [&](std::size_t node) {
        const auto seen = this->view(node);
        return seen.has_quorum && seen.voters == addresses &&
               (seen.role == "leader" || seen.role == "follower");
    });
}

bool control_nodes::is_halted(std::size_t node) const
{
    return this->nodes[node].halted_at.has_value();
}

bool control_nodes::is_present(std::size_t node) const
{
    return this->nodes[node].is_present;
}

} // namespace oleanderhinge::tests
