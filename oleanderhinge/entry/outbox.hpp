// Passes what happens to a request from the threads that learn of it to the
// coroutine that serves its caller.
//
// Example:
//   auto item = co_await box.next();   // in the coroutine
//   box.push(token_delivery{...});     // from any thread
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

struct token_delivery {
    std::string text;
};
struct completion {
    std::string finish_reason;
};
struct service_answer {
    wire::response answer;
    bool replayed = false;
};
struct request_failure {
    base::verdict reason;
};

using delivery =
    std::variant<token_delivery, completion, service_answer, request_failure>;

// One producer at a time, one consumer. The number of items is bounded by the
// tokens of the answer.
class outbox : public std::enable_shared_from_this<outbox>
{
public:
    // `executor` is that of the consuming coroutine.
    explicit outbox(boost::asio::any_io_executor executor);

    // Thread-safe.
    void push(delivery item);

    // Waits for the next item; empty when `limit` has passed without one. Only
    // on the executor.
    boost::asio::awaitable<std::optional<delivery>>
    next(std::chrono::milliseconds limit);

private:
    std::optional<delivery> take();

    boost::asio::any_io_executor executor;
    boost::asio::steady_timer timer;
    std::mutex mutex;
    std::deque<delivery> items;
};

} // namespace oleanderhinge::entry
