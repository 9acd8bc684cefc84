#include "oleanderhinge/control/program.hpp"

#include "oleanderhinge/control/local_log.hpp"
#include "oleanderhinge/control/settings.hpp"
#include "oleanderhinge/net/process.hpp"

#include <CLI/CLI.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <utility>

namespace oleanderhinge::control
{

namespace
{

constexpr int exit_cannot_start = 1;
constexpr int exit_usage = 2;

replica::member self_of(const control_settings& chosen)
{
    const auto& vm = chosen.service.link.self.vm;
    return *std::find_if(
        chosen.members.begin(), chosen.members.end(), [&](const auto& item) {
            return item.vm == vm;
        });
}

// Interim: one member in memory, until the replicated log is merged.
consensus_port
make_local_log(const control_settings& chosen, replica::state_machine machine)
{
    return {
        std::make_unique<local_log>(self_of(chosen), std::move(machine)), {}};
}

int serve(const control_settings& chosen)
{
    boost::asio::io_context io;
    timeline::hybrid_clock clock;
    service control(
        io,
        clock,
        chosen.service,
        [&](replica::state_machine machine, const consensus_sender&) {
            return make_local_log(chosen, std::move(machine));
        });
    const bool started = base::handle(
        [&]() -> base::result<bool> {
            BOOST_LEAF_AUTO(open, control.start());
            spdlog::info(
                "{} serves links on {}:{}, admin on {}:{}, management on "
                "{}:{}",
                chosen.service.link.self.vm.value(),
                open.link.address,
                open.link.port,
                open.admin.address,
                open.admin.port,
                open.management.address,
                open.management.port);
            return true;
        },
        [](const base::error& failure) {
            spdlog::error("cannot start: {}", failure.detail);
            return false;
        });
    if (!started)
        return exit_cannot_start;
    return net::run_process(
        io,
        {.threads = chosen.threads,
         .drain_limit = chosen.times.drain_limit,
         .begin_drain =
             [&] {
                 spdlog::info("shutting down");
                 control.begin_drain();
             },
         .drained = [&] { return control.drained(); },
         .stop = [&] { control.stop(); }});
}

int load_and_run(const std::string& path, bool check_only)
{
    return base::handle(
        [&]() -> base::result<int> {
            BOOST_LEAF_AUTO(values, settings::load(path, control_keys()));
            BOOST_LEAF_AUTO(chosen, load_settings(values));
            if (check_only) {
                std::cout << path << ": ok\n";
                return 0;
            }
            return serve(chosen);
        },
        [&](const base::error& failure) {
            std::cerr << failure.detail << '\n';
            return exit_usage;
        });
}

} // namespace

int run_program(int argc, const char* const* argv)
{
    CLI::App app{"Control node of oleanderhinge: configuration, plans and "
                 "claims."};
    std::string path;
    bool check_only = false;
    app.set_version_flag(
        "--version",
        std::string("oleanderhinge-control ") + OLEANDERHINGE_VERSION);
    app.add_option("--config", path, "settings file")->required();
    app.add_flag("--check-config", check_only, "check the settings and exit");
    try {
        app.parse(argc, argv);
        return load_and_run(path, check_only);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : exit_usage;
    } catch (const std::exception& e) {
        spdlog::error("cannot start: {}", e.what());
        return exit_cannot_start;
    }
}

} // namespace oleanderhinge::control
