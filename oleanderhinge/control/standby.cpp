#include "oleanderhinge/control/standby.hpp"

namespace oleanderhinge::control
{

namespace
{

// The time line only holds events of this process.
constexpr std::size_t kept_events = 16;

boost::asio::awaitable<void>
refuse(net::http_request, net::http_exchange& exchange)
{
    const auto why = base::not_run(
        base::failure_code::not_ready, "this control node has no disk");
    co_await net::respond_problem(exchange, why);
}

} // namespace

standby::standby(boost::asio::io_context& io, service_options chosen)
    : options(std::move(chosen))
    , events(this->options.link.self.vm, this->clock, kept_events)
    , admin(io, {}, refuse)
    , management(
          io,
          {},
          net::management_handler(
              {.ready =
                   [] {
                       return net::readiness{false, "no disk"};
                   },
               .registry = this->registry,
               .events = this->events,
               .before_scrape = {}}))
{
}

base::result<service_endpoints> standby::start()
{
    BOOST_LEAF_AUTO(calls, this->admin.listen(this->options.admin_listen));
    BOOST_LEAF_AUTO(
        pages, this->management.listen(this->options.management_listen));
    return service_endpoints{{}, calls, pages};
}

void standby::stop()
{
    this->admin.shutdown();
    this->management.shutdown();
}

} // namespace oleanderhinge::control
