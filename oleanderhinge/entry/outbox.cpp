#include "oleanderhinge/entry/outbox.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace oleanderhinge::entry
{

namespace asio = boost::asio;

outbox::outbox(asio::any_io_executor consumer)
    : executor(std::move(consumer))
    , timer(this->executor)
{
}

void outbox::push(delivery item)
{
    {
        const std::lock_guard lock(this->mutex);
        this->items.push_back(std::move(item));
    }
    // The timer may be touched only on the consumer's executor. A consumer
    // that has not begun to wait sees the item before it waits.
    asio::post(this->executor, [self = this->shared_from_this()] {
        self->timer.cancel();
    });
}

asio::awaitable<std::optional<delivery>>
outbox::next(std::chrono::milliseconds limit)
{
    const auto self = this->shared_from_this();
    auto item = this->take();
    if (item)
        co_return item;
    this->timer.expires_after(limit);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return this->take();
}

std::optional<delivery> outbox::take()
{
    const std::lock_guard lock(this->mutex);
    if (this->items.empty())
        return std::nullopt;
    auto item = std::move(this->items.front());
    this->items.pop_front();
    return item;
}

} // namespace oleanderhinge::entry
