// Queue that passes the tokens and the end of a request from the threads that
// handle messages to the coroutine that serves the caller.
//
// Example:
//   auto item = co_await deliveries.next(limit);   // in the coroutine
//   deliveries.push(token_delivery{...});          // from any thread
#pragma once

#include "oleanderhinge/base/ids.hpp"
#include "oleanderhinge/base/verdict.hpp"
#include "oleanderhinge/wire/messages.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace oleanderhinge::entry
{

// The text of the next token.
struct token_delivery {
    std::string text;
};
// The end of a complete model answer.
struct completion {
    std::string finish_reason;
};
// The answer of a plain service.
struct service_answer {
    wire::response answer;
    // Whether it was recorded for an earlier request with the same key.
    bool replayed = false;
};
// The end of a failed request.
struct request_failure {
    base::verdict reason;
};

using delivery =
    std::variant<token_delivery, completion, service_answer, request_failure>;

// For one producer at a time and one consumer. Holds at most the tokens of the
// answer and its end. Must be owned by a shared_ptr.
class delivery_queue : public std::enable_shared_from_this<delivery_queue>
{
public:
    // `executor` is that of the consuming coroutine; it must run one handler at
    // a time.
    explicit delivery_queue(boost::asio::any_io_executor executor);

    // Thread-safe.
    void push(delivery item);

    // Waits at most `limit` for the next item; empty if there is none. The wait
    // may end early and empty. Call it on `executor` only.
    boost::asio::awaitable<std::optional<delivery>>
    next(std::chrono::milliseconds limit);

private:
    std::optional<delivery> pop();

    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    std::mutex mutex;
    std::deque<delivery> items;
};

} // namespace oleanderhinge::entry
