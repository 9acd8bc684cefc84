#include "oleanderhinge/control/program.hpp"

#include "oleanderhinge/control/group.hpp"
#include "oleanderhinge/control/settings.hpp"
#include "oleanderhinge/control/standby.hpp"
#include "oleanderhinge/net/process.hpp"
#include "oleanderhinge/replica/node.hpp"
#include "oleanderhinge/storage/file_system.hpp"

#include <CLI/CLI.hpp>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <unistd.h>
#include <utility>

namespace oleanderhinge::control
{

namespace
{

constexpr int exit_cannot_start = 1;
constexpr int exit_usage = 2;
constexpr int exit_log_failed = 4;

// Opens the replicated log in the data folder; throws std::runtime_error if
// the folder is damaged.
consensus_port open_log(
    const control_settings& chosen,
    storage::file_system& files,
    replica::state_machine machine,
    consensus_sender send)
{
    replica::node_setup setup;
    setup.self = chosen.service.link.self.vm;
    if (chosen.is_named)
        setup.initial = chosen.members;
    setup.first_start = chosen.forms_group;
    setup.times = {
        chosen.times.raft_heartbeat,
        chosen.times.leader_lease,
        chosen.times.election_timeout_min,
        chosen.times.election_timeout_max};
    setup.network = std::move(send);
    setup.on_fatal_error = [](const std::string& reason) {
        // Without a durable log, this node must not answer further requests.
        spdlog::critical("replicated log: {}", reason);
        spdlog::default_logger()->flush();
        std::_Exit(exit_log_failed);
    };
    auto opened = base::handle(
        [&]() -> base::result<std::unique_ptr<replica::node>> {
            return replica::node::open(
                std::move(setup), files, std::move(machine));
        },
        [&](const base::error& failure) -> std::unique_ptr<replica::node> {
            throw std::runtime_error(
                chosen.data_folder + ": " + failure.detail);
        });
    auto* log = opened.get();
    return {
        .log = std::move(opened),
        .receive =
            [log](const base::vm_id& from, wire::consensus_message content) {
                log->receive(from, std::move(content));
            },
        .transfer_leadership =
            [log](std::function<void()> done) {
                log->transfer_leadership(
                    [done = std::move(done)](replica::barrier_result) {
                        done();
                    });
            }};
}

// Creates the data folder at the first start and syncs its parent. Otherwise
// the entry could be missing after a power loss, which looks like a lost disk.
void prepare_folder(const std::string& folder)
{
    const std::filesystem::path path(folder);
    if (!std::filesystem::create_directories(path))
        return;
    const auto parent = std::filesystem::absolute(path).parent_path();
    const int file = ::open(parent.c_str(), O_RDONLY | O_DIRECTORY);
    if (file < 0 || ::fsync(file) != 0)
        throw std::runtime_error("cannot sync " + parent.string());
    ::close(file);
}

service_options with_extension(
    service_options options,
    const extension& added,
    boost::asio::io_context& io)
{
    options.extend_admin = added.extend_admin;
    if (added.make_order_sender)
        options.send_order = added.make_order_sender(io);
    if (added.make_load_reader)
        options.read_load = added.make_load_reader(io);
    return options;
}

void log_started(const base::vm_id& vm, const service_endpoints& open)
{
    spdlog::info(
        "event=started role=control vm={} links={}:{} admin={}:{} "
        "management={}:{}",
        vm.value(),
        open.link.address,
        open.link.port,
        open.admin.address,
        open.admin.port,
        open.management.address,
        open.management.port);
}

// Starts a service or a standby.
template <class Node>
bool start(Node& node, const control_settings& chosen)
{
    return base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_AUTO(open, node.start());
            log_started(chosen.service.link.self.vm, open);
            return true;
        },
        [](const base::error& failure) {
            spdlog::error("cannot start: {}", failure.detail);
            return false;
        });
}

// Reads the settings again and passes on the seeds; other changes need a
// restart. Settings that are not valid leave the process as it is.
template <class Node>
void reload(Node& node, const std::string& path)
{
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(values, settings::load(path, control_keys()));
            BOOST_LEAF_AUTO(changed, load_settings(values));
            node.set_seeds(std::move(changed.members));
            return {};
        },
        [](const base::error& failure) {
            spdlog::error("event=reload_refused reason=\"{}\"", failure.detail);
        });
}

int serve_without_disk(const control_settings& chosen, const std::string& path)
{
    boost::asio::io_context io;
    standby node(io, chosen.service);
    spdlog::warn("event=no_disk vm={}", chosen.service.link.self.vm.value());
    if (!start(node, chosen))
        return exit_cannot_start;
    return net::run_process(
        io,
        {.threads = 1,
         .drain_limit = chosen.times.drain_limit,
         .begin_drain = [] {},
         .drained = [] { return true; },
         .stop = [&] { node.stop(); },
         .reload = [&] { reload(node, path); }});
}

void log_group_size(const control_settings& chosen)
{
    if (!chosen.service.self_managed)
        return;
    const auto losses = chosen.service.tolerated_losses;
    spdlog::info(
        "event=group_size needed={} seeds={} tolerated_losses={} "
        "first_start={}",
        needed_members(losses),
        chosen.members.size(),
        losses,
        chosen.forms_group);
}

int serve(
    const control_settings& chosen,
    const extension& added,
    const std::string& path)
{
    prepare_folder(chosen.data_folder);
    const auto files = storage::make_posix_file_system(chosen.data_folder);
    boost::asio::io_context io;
    timeline::hybrid_clock clock;
    service control(
        io,
        clock,
        with_extension(chosen.service, added, io),
        [&](replica::state_machine machine, consensus_sender send) {
            return open_log(
                chosen, *files, std::move(machine), std::move(send));
        });
    if (!start(control, chosen))
        return exit_cannot_start;
    log_group_size(chosen);
    return net::run_process(
        io,
        {.threads = chosen.threads,
         .drain_limit = chosen.times.drain_limit,
         .begin_drain =
             [&] {
                 spdlog::info("event=draining");
                 control.begin_drain();
             },
         .drained = [&] { return control.drained(); },
         .stop = [&] { control.stop(); },
         .reload = [&] { reload(control, path); }});
}

int load_and_run(
    const std::string& path, bool check_only, const extension& added)
{
    return base::handle(
        [&]() -> base::result<int> {
            BOOST_LEAF_AUTO(values, settings::load(path, control_keys()));
            BOOST_LEAF_AUTO(chosen, load_settings(values));
            if (check_only) {
                std::cout << path << ": ok\n";
                return 0;
            }
            return chosen.data_folder.empty() ? serve_without_disk(chosen, path)
                                              : serve(chosen, added, path);
        },
        [&](const base::error& failure) {
            std::cerr << failure.detail << '\n';
            return exit_usage;
        });
}

} // namespace

int run_program(int argc, const char* const* argv, const extension& added)
{
    net::hold_signals();
    CLI::App app{"Control node of oleanderhinge: configuration, plans and "
                 "claims."};
    std::string path;
    bool check_only = false;
    app.set_version_flag(
        "--version",
        std::string("oleanderhinge-control ") + OLEANDERHINGE_VERSION);
    app.add_option("--config", path, "settings file")->required();
    app.add_flag("--check-config", check_only, "check the settings and exit");
    net::set_log_format();
    try {
        app.parse(argc, argv);
        return load_and_run(path, check_only, added);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : exit_usage;
    } catch (const std::exception& e) {
        spdlog::error("cannot start: {}", e.what());
        return exit_cannot_start;
    }
}

} // namespace oleanderhinge::control
