// The entry daemon. See docs/OPERATIONS.md for its settings.
#include "oleanderhinge/entry/entry_node.hpp"

#include <CLI/CLI.hpp>
#include <spdlog/spdlog.h>

#include <cstdio>

using namespace oleanderhinge;

namespace
{

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;

int run(const std::string& file, bool check_only)
{
    return base::handle(
        [&]() -> base::result<int> {
            BOOST_LEAF_AUTO(
                checked, settings::load(file, entry::entry_schema()));
            BOOST_LEAF_AUTO(options, entry::load_options(checked));
            if (check_only) {
                std::puts("settings are valid");
                return 0;
            }
            boost::asio::io_context io;
            entry::entry_node node(io, options);
            BOOST_LEAF_CHECK(node.start());
            const auto process = node.process_options();
            return net::run_process(io, process);
        },
        [](const base::error& e) {
            std::fprintf(stderr, "oleanderhinge-entry: %s\n", e.detail.c_str());
            return exit_failed;
        });
}

} // namespace

int main(int argc, char** argv)
{
    net::hold_signals();
    CLI::App app{"Entry node of oleanderhinge: serves callers."};
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
