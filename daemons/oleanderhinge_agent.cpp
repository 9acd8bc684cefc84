// The agent beside a backend server.
//
//   oleanderhinge-agent --config agent.ini
#include "oleanderhinge/agent/agent.hpp"
#include "oleanderhinge/agent/options.hpp"
#include "oleanderhinge/net/http_server.hpp"
#include "oleanderhinge/net/management.hpp"
#include "oleanderhinge/net/process.hpp"

#include <CLI/CLI.hpp>
#include <spdlog/spdlog.h>

#include <iostream>
#include <string>

namespace
{

namespace agent = oleanderhinge::agent;
namespace base = oleanderhinge::base;
namespace net = oleanderhinge::net;
namespace settings = oleanderhinge::settings;
namespace timeline = oleanderhinge::timeline;

base::result<int> run(const agent::agent_options& options)
{
    boost::asio::io_context io;
    timeline::hybrid_clock clock;
    timeline::recorder events(options.vm, clock, options.event_capacity);
    prometheus::Registry registry;
    agent::agent beside(io, options, clock, events, registry);
    net::http_server management(
        io,
        net::management_limits(),
        net::management_handler(
            {.ready = [&] { return beside.ready(); },
             .registry = registry,
             .events = events,
             .before_scrape = [&] { beside.update_metrics(); }}));
    BOOST_LEAF_AUTO(bound, beside.start());
    BOOST_LEAF_AUTO(management_port, management.listen(options.management));
    spdlog::info(
        "event=started role=agent server={} links={}:{} management={}:{}",
        options.server.value(),
        bound.links.address,
        bound.links.port,
        management_port.address,
        management_port.port);
    return net::run_process(
        io,
        {.threads = options.threads,
         .drain_limit = options.timing.drain_limit,
         .begin_drain =
             [&] {
                 spdlog::info("event=draining");
                 beside.begin_drain();
             },
         .drained = [&] { return beside.drained(); },
         .stop =
             [&] {
                 spdlog::info("event=stopped");
                 beside.stop();
                 management.shutdown();
             }});
}

base::result<int> load_and_run(const std::string& path, bool check_only)
{
    BOOST_LEAF_AUTO(values, settings::load(path, agent::agent_keys()));
    BOOST_LEAF_AUTO(options, agent::load_options(values));
    if (check_only) {
        std::cout << path << ": ok\n";
        return 0;
    }
    return run(options);
}

} // namespace

int main(int argc, char** argv)
{
    net::hold_signals();
    std::string path;
    bool check_only = false;
    CLI::App app("Agent beside a backend server", "oleanderhinge-agent");
    app.add_option("--config", path, "settings file")->required();
    app.add_flag("--check-config", check_only, "check the settings and exit");
    app.set_version_flag("--version", agent::version());
    CLI11_PARSE(app, argc, argv);
    net::set_log_format();
    return base::handle(
        [&] { return load_and_run(path, check_only); },
        [](const base::error& e) {
            std::cerr << e.detail << '\n';
            return 2;
        });
}
