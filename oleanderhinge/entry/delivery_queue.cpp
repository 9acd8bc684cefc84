#include "oleanderhinge/entry/delivery_queue.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace oleanderhinge::entry
{

namespace asio = boost::asio;

delivery_queue::delivery_queue(asio::any_io_executor consumer)
    : executor(std::move(consumer))
    , timer(this->executor)
{
}

void delivery_queue::push(delivery item)
{
    {
        const std::lock_guard lock(this->mutex);
        this->items.push_back(std::move(item));
    }
    // The timer is not thread-safe, so only the consumer's executor uses it. A
    // consumer that has not begun to wait finds the item before it waits.
    asio::post(this->executor, [self = this->shared_from_this()] {
        self->timer.cancel();
    });
}

asio::awaitable<std::optional<delivery>>
delivery_queue::next(std::chrono::milliseconds limit)
{
    const auto self = this->shared_from_this();
    auto item = this->pop();
    if (item)
        co_return item;
    this->timer.expires_after(limit);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return this->pop();
}

std::optional<delivery> delivery_queue::pop()
{
    const std::lock_guard lock(this->mutex);
    if (this->items.empty())
        return std::nullopt;
    auto item = std::move(this->items.front());
    this->items.pop_front();
    return item;
}

} // namespace oleanderhinge::entry
