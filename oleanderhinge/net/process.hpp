// Runs a daemon: threads, signals and the order of shutdown.
//
// Example:
//   asio::io_context io;
//   ...
//   return run_process(io, {.threads = 2, .drain_limit = 60s,
//       .begin_drain = [&] { server.drain(); },
//       .drained = [&] { return server.active() == 0; },
//       .stop = [&] { server.shutdown(); }});
#pragma once

#include "oleanderhinge/base/time.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace oleanderhinge::net
{

struct process_options {
    unsigned threads = 2;
    // Time that requests in progress may take after the first SIGTERM or
    // SIGINT.
    base::duration drain_limit = std::chrono::seconds(60);
    // Stops the intake of new work.
    std::function<void()> begin_drain;
    // True when no work is in progress. Polled.
    std::function<bool()> drained;
    // Closes everything.
    std::function<void()> stop;
    // SIGHUP: the settings file has changed. May be empty.
    std::function<void()> reload = {};
};

// Holds SIGTERM, SIGINT and SIGHUP back until `run_process` handles them. To be
// called first in `main`: while settings are read and listeners opened, such a
// signal would end the process, and the change that SIGHUP names would be lost.
void hold_signals();

// Log lines on standard output: time, level and the line, in the same form for
// all daemons, so that the lines of several processes can be merged.
void set_log_format();

// Runs `io` until the process ends. The first SIGTERM or SIGINT starts the
// drain. The limit or SIGINT, as from a terminal, ends it at once; a repeated
// SIGTERM does not. Returns the exit code: 0 after a complete drain, 3 if work
// was cut off. SIGHUP never ends it.
int run_process(boost::asio::io_context& io, const process_options& options);

} // namespace oleanderhinge::net
