#include "oleanderhinge/net/process.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <csignal>
#include <thread>
#include <vector>

namespace oleanderhinge::net
{

namespace asio = boost::asio;

namespace
{

constexpr auto drain_poll = std::chrono::milliseconds(20);
// Lets the last answers and the leaving announcements reach the sockets.
constexpr auto flush_time = std::chrono::milliseconds(100);
constexpr int exit_cut_off = 3;

class shutdown_sequence
{
public:
    shutdown_sequence(asio::io_context& context, const process_options& chosen)
        : io(context)
        , options(chosen)
        , signals(context, SIGTERM, SIGINT)
        , hangups(context, SIGHUP)
        , timer(context)
    {
        this->wait_for_signal();
        this->wait_for_hangup();
    }

    int exit_code = 0;

private:
    void wait_for_signal()
    {
        this->signals.async_wait(
            [this](boost::system::error_code failed, int received) {
                if (failed)
                    return;
                if (this->draining) {
                    if (received == SIGINT)
                        return this->end();
                    // Whoever stops many processes may repeat it.
                    spdlog::info("event=signal_repeated signal={}", received);
                    return this->wait_for_signal();
                }
                this->draining = true;
                this->deadline =
                    base::monotonic_now() + this->options.drain_limit;
                this->options.begin_drain();
                this->wait_for_signal();
                this->poll();
            });
    }

    void wait_for_hangup()
    {
        this->hangups.async_wait([this](boost::system::error_code failed, int) {
            if (failed)
                return;
            if (this->options.reload)
                this->options.reload();
            this->wait_for_hangup();
        });
    }

    void poll()
    {
        this->timer.expires_after(drain_poll);
        this->timer.async_wait([this](boost::system::error_code failed) {
            if (failed)
                return;
            if (this->options.drained() ||
                base::monotonic_now() >= this->deadline)
                return this->end();
            this->poll();
        });
    }

    void end()
    {
        if (this->ended)
            return;
        this->ended = true;
        this->exit_code = this->options.drained() ? 0 : exit_cut_off;
        boost::system::error_code ignored;
        this->signals.cancel(ignored);
        this->hangups.cancel(ignored);
        this->options.stop();
        this->timer.expires_after(flush_time);
        this->timer.async_wait(
            [this](boost::system::error_code) { this->io.stop(); });
    }

    asio::io_context& io;
    const process_options& options;
    asio::signal_set signals;
    asio::signal_set hangups;
    asio::steady_timer timer;
    base::time_point deadline;
    bool draining = false;
    bool ended = false;
};

sigset_t handled_signals()
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&handled, number);
    return handled;
}

} // namespace

void hold_signals()
{
    const auto held = handled_signals();
    pthread_sigmask(SIG_BLOCK, &held, nullptr);
}

void set_log_format()
{
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%f%z %l %v");
}

int run_process(asio::io_context& io, const process_options& options)
{
    const auto work = asio::make_work_guard(io);
    shutdown_sequence sequence(io, options);
    const auto held = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &held, nullptr);
    std::vector<std::jthread> threads;
    for (unsigned i = 1; i < std::max(1U, options.threads); ++i)
        threads.emplace_back([&io] { io.run(); });
    io.run();
    threads.clear();
    return sequence.exit_code;
}

} // namespace oleanderhinge::net
