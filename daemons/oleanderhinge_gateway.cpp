// The gateway daemon. See docs/OPERATIONS.md for its settings.
#include "oleanderhinge/gateway/gateway_node.hpp"

#include "platform/requests.hpp"

#include <CLI/CLI.hpp>
#include <spdlog/spdlog.h>

#include <cstdio>

using namespace oleanderhinge;

namespace
{

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

// Settings that are not valid leave the process as it is.
void reload(gateway::gateway_node& node, const std::string& file)
{
    base::handle(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(
                checked, settings::load(file, gateway::gateway_keys()));
            BOOST_LEAF_AUTO(options, gateway::load_settings(checked));
            node.reload(options);
            return {};
        },
        [](const base::error& e) {
            spdlog::error("event=reload_refused reason=\"{}\"", e.detail);
        });
}

int run(const std::string& file, bool check_only)
{
    return base::handle(
        [&]() -> base::result<int> {
            BOOST_LEAF_AUTO(
                checked, settings::load(file, gateway::gateway_keys()));
            BOOST_LEAF_AUTO(options, gateway::load_settings(checked));
            if (check_only) {
                std::puts("settings are valid");
                return 0;
            }
            boost::asio::io_context io;
            gateway::gateway_node node(
                io, options, platform::make_protocol_adapter());
            BOOST_LEAF_CHECK(node.start());
            auto process = node.process_options();
            process.reload = [&] { reload(node, file); };
            return net::run_process(io, process);
        },
        [](const base::error& e) {
            std::fprintf(
                stderr, "oleanderhinge-gateway: %s\n", e.detail.c_str());
            return exit_failed;
        });
}

} // namespace

int main(int argc, char** argv)
{
    net::hold_signals();
    CLI::App app{"Gateway of oleanderhinge: forwards requests."};
    app.set_version_flag("--version", OLEANDERHINGE_VERSION);
    std::string file;
    bool check_only = false;
    app.add_option("--config", file, "INI file with the settings")->required();
    app.add_flag("--check-config", check_only, "check the settings and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : exit_usage;
    }
    net::set_log_format();
    return run(file, check_only);
}
