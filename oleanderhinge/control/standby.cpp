#include "oleanderhinge/control/standby.hpp"

#include "oleanderhinge/control/admin_limits.hpp"
#include "oleanderhinge/control/json.hpp"

#include <spdlog/spdlog.h>

namespace oleanderhinge::control
{

namespace
{

// The time line only holds events of this process.
constexpr std::size_t kept_events = 16;

std::vector<wire::endpoint> other_nodes(
    const std::vector<replica::member>& seeds, const wire::endpoint& self)
{
    std::vector<wire::endpoint> found;
    for (const auto& node : seeds)
        if (node.admin.port != 0 && node.admin != self)
            found.push_back(node.admin);
    return found;
}

} // namespace

standby::standby(boost::asio::io_context& io, service_options chosen)
    : options(std::move(chosen))
    , others(other_nodes(
          this->options.initial_members, this->options.admin_listen))
    , events(this->options.link.self.vm, this->clock, kept_events)
    , admin(
          io,
          admin_limits(),
          [this](net::http_request request, net::http_exchange& exchange)
              -> boost::asio::awaitable<void> {
              co_await this->answer(request, exchange);
          })
    , management(
          io,
          net::management_limits(),
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

void standby::set_seeds(const std::vector<replica::member>& seeds)
{
    this->others = other_nodes(seeds, this->options.admin_listen);
    spdlog::info("event=reload nodes={}", this->others.size());
}

boost::asio::awaitable<void>
standby::answer(const net::http_request& request, net::http_exchange& exchange)
{
    if (this->others.empty()) {
        const auto why = base::not_run(
            base::failure_code::not_ready, "this control node has no disk");
        co_await net::respond_problem(exchange, why);
        co_return;
    }
    const auto& next = this->others[this->redirects++ % this->others.size()];
    std::vector<wire::header> headers{
        {"Location",
         "http://" + to_text(next) + std::string(request.target())}};
    co_await exchange.respond(
        307, "application/json", "{}", std::move(headers));
}

void standby::stop()
{
    this->admin.shutdown();
    this->management.shutdown();
}

} // namespace oleanderhinge::control
