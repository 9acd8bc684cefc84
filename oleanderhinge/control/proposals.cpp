#include "oleanderhinge/control/proposals.hpp"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace oleanderhinge::control
{

namespace asio = boost::asio;

namespace
{

// Calls `start(done)`, where `done(Result)` completes the operation.
template <class Result, class Start>
asio::awaitable<Result> call(Start start)
{
    return asio::async_initiate<const asio::use_awaitable_t<>&, void(Result)>(
        [](auto handler, Start begin) {
            // std::function needs a copyable callback.
            const auto held =
                std::make_shared<decltype(handler)>(std::move(handler));
            begin([held](Result result) {
                asio::post(
                    asio::get_associated_executor(*held),
                    [held, result = std::move(result)]() mutable {
                        std::move (*held)(std::move(result));
                    });
            });
        },
        asio::use_awaitable,
        std::move(start));
}

} // namespace

asio::awaitable<replica::propose_result>
propose(replica::replicated_log& log, std::string command)
{
    return call<replica::propose_result>(
        [&log, command = std::move(command)](auto done) mutable {
            log.propose(std::move(command), std::move(done));
        });
}

asio::awaitable<bool> read_barrier(replica::replicated_log& log)
{
    auto start = [&log](auto done) { log.read_barrier(std::move(done)); };
    const auto result =
        co_await call<replica::barrier_result>(std::move(start));
    co_return result.ok;
}

asio::awaitable<replica::propose_result>
add_member(replica::replicated_log& log, replica::member added)
{
    return call<replica::propose_result>(
        [&log, added = std::move(added)](auto done) mutable {
            log.add_member(std::move(added), std::move(done));
        });
}

asio::awaitable<replica::propose_result>
remove_member(replica::replicated_log& log, base::vm_id removed)
{
    return call<replica::propose_result>(
        [&log, removed = std::move(removed)](auto done) mutable {
            log.remove_member(std::move(removed), std::move(done));
        });
}

} // namespace oleanderhinge::control
