#include "oleanderhinge/net/process.hpp"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <csignal>

namespace oleanderhinge::net
{
namespace
{

// Guards against a daemon that dies when its settings file changes: without a
// handler, SIGHUP ends a process.
TEST(process, a_hangup_reloads_and_does_not_end_the_process)
{
    boost::asio::io_context io;
    int reloads = 0;
    bool drained = false;
    process_options options;
    options.threads = 1;
    options.begin_drain = [&] { drained = true; };
    options.drained = [&] { return drained; };
    options.stop = [] {};
    options.reload = [&] {
        if (++reloads < 2)
            std::raise(SIGHUP);
        else
            std::raise(SIGTERM);
    };
    boost::asio::post(io, [] { std::raise(SIGHUP); });
    EXPECT_EQ(run_process(io, options), 0);
    EXPECT_EQ(reloads, 2);
}

// Guards against a process that ends by itself, or misses a change of its
// settings, because a signal comes while it starts.
TEST(process, signals_during_the_start_are_handled_after_it)
{
    hold_signals();
    std::raise(SIGHUP);
    std::raise(SIGTERM);
    boost::asio::io_context io;
    int reloads = 0;
    int drains = 0;
    process_options options;
    options.threads = 1;
    options.begin_drain = [&] { ++drains; };
    options.drained = [&] { return reloads == 1; };
    options.stop = [] {};
    options.reload = [&] { ++reloads; };
    EXPECT_EQ(run_process(io, options), 0);
    EXPECT_EQ(drains, 1);
}

// Guards against a drain that a second SIGTERM, as overlapping rolling stops
// send it, cuts short with requests in progress.
TEST(process, a_repeated_stop_leaves_the_drain_its_time)
{
    struct row {
        int again;
        int exit_code;
    };
    constexpr int cut_off = 3;
    for (const auto& row : {row{SIGTERM, 0}, row{SIGINT, cut_off}}) {
        boost::asio::io_context io;
        int polls = 0;
        process_options options;
        options.threads = 1;
        options.begin_drain = [&] { std::raise(row.again); };
        options.drained = [&] { return ++polls > 3; };
        options.stop = [] {};
        boost::asio::post(io, [] { std::raise(SIGTERM); });
        EXPECT_EQ(run_process(io, options), row.exit_code) << row.again;
    }
}

} // namespace
} // namespace oleanderhinge::net
