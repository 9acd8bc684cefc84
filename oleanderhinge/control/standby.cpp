#include "oleanderhinge/control/standby.hpp"

#include "oleanderhinge/control/admin_limits.hpp"
#include "oleanderhinge/control/json.hpp"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include <utility>

namespace oleanderhinge::control
{

namespace
{

// The time line only holds events of this process.
constexpr std::size_t kept_events = 16;
// Interval at which links are opened and the members' list is passed on.
constexpr auto relay_interval = std::chrono::seconds(1);

} // namespace

standby::standby(boost::asio::io_context& context, service_options chosen)
    : options(std::move(chosen))
    , seeds(this->options.initial_members)
    , events(this->options.link.self.vm, this->clock, kept_events)
    , io(context)
    , timer(context)
    , random(this->options.seed)
    , started(base::monotonic_now())
    , peers{.self = this->options.link.self.vm, .peers = {}}
    , links(context, this->clock, this->options.link, this->link_handlers())
    , admin(
          context,
          admin_limits(),
          [this](net::http_request request, net::http_exchange& exchange)
              -> boost::asio::awaitable<void> {
              co_await this->answer(request, exchange);
          })
    , management(
          context,
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
    if (this->options.link_listen.address.empty())
        return service_endpoints{{}, calls, pages};
    BOOST_LEAF_AUTO(link, this->links.listen(this->options.link_listen));
    this->schedule();
    return service_endpoints{link, calls, pages};
}

void standby::set_seeds(std::vector<replica::member> changed)
{
    this->seeds = std::move(changed);
    spdlog::info("event=reload seeds={}", this->seeds.size());
}

std::vector<wire::endpoint> standby::targets(base::time_point now) const
{
    std::vector<wire::endpoint> found;
    for (const auto& member : list_to_relay(this->news, now))
        found.push_back({member.address, this->options.admin_listen.port});
    if (!found.empty())
        return found;
    for (const auto& node : this->seeds)
        if (node.admin.port != 0 && node.admin != this->options.admin_listen)
            found.push_back(node.admin);
    return found;
}

boost::asio::awaitable<void>
standby::answer(const net::http_request& request, net::http_exchange& exchange)
{
    const auto others = this->targets(base::monotonic_now());
    if (others.empty()) {
        const auto why = base::not_run(
            base::failure_code::not_ready, "this control node has no disk");
        co_await net::respond_problem(exchange, why);
        co_return;
    }
    const auto& next = others[this->redirects++ % others.size()];
    std::vector<wire::header> headers{
        {"Location",
         "http://" + to_text(next) + std::string(request.target())}};
    co_await exchange.respond(
        307, "application/json", "{}", std::move(headers));
}

net::link_events standby::link_handlers()
{
    // The table may call back before its own call has returned.
    return {
        .opened =
            [this](net::link_id link, const wire::hello& peer) {
                boost::asio::post(this->io, [this, link, peer] {
                    this->on_opened(link, peer);
                });
            },
        .received =
            [this](net::link_id link, wire::message content) {
                boost::asio::post(
                    this->io, [this, link, content = std::move(content)] {
                        this->on_message(link, content);
                    });
            },
        .closed =
            [this](net::link_id link, net::close_reason, bool) {
                boost::asio::post(this->io, [this, link] {
                    closed(
                        this->peers, link, base::monotonic_now(), this->random);
                    this->open_links.erase(link);
                });
            }};
}

void standby::schedule()
{
    const auto now = base::monotonic_now();
    this->connect_nodes(now);
    this->relay_group(now);
    this->timer.expires_after(relay_interval);
    this->timer.async_wait([this](boost::system::error_code failed) {
        if (!failed && !this->stopped)
            this->schedule();
    });
}

void standby::connect_nodes(base::time_point now)
{
    std::vector<net::link_id> dropped;
    const auto nodes = nodes_to_link(
        {}, this->news, this->seeds, this->peers.self, this->started, now);
    for (const auto& node : due(this->peers, nodes, now, dropped))
        connecting(this->peers, node.vm, this->links.connect(node.link));
    for (const auto link : dropped)
        this->links.close(link);
}

void standby::on_opened(net::link_id link, const wire::hello& peer)
{
    if (peer.sender == wire::role::agent ||
        !opened(this->peers, link, peer.vm)) {
        spdlog::warn(
            "event=link_refused peer={} reason=\"unexpected peer\"",
            peer.vm.value());
        this->links.close(link);
        return;
    }
    this->open_links.insert_or_assign(link, peer);
    this->relay_group(base::monotonic_now());
}

void standby::on_message(net::link_id link, const wire::message& content)
{
    const auto peer = this->open_links.find(link);
    if (peer == this->open_links.end() ||
        peer->second.sender != wire::role::control)
        return;
    if (const auto* group = std::get_if<wire::control_group>(&content)) {
        const auto now = base::monotonic_now();
        const bool knew = !list_to_relay(this->news, now).empty();
        note_group(this->news, group->members, peer->second.vm, now);
        this->connect_nodes(now);
        if (!knew)
            this->relay_group(now);
    } else if (
        const auto* request = std::get_if<wire::join_request>(&content)) {
        this->forward(*request);
    }
}

void standby::forward(const wire::join_request& request)
{
    for (const auto& member : list_to_relay(this->news, base::monotonic_now()))
        if (const auto link =
                link_to(this->peers, base::vm_id{member.address})) {
            this->links.send(*link, request);
            return;
        }
}

void standby::relay_group(base::time_point now)
{
    wire::control_group group{list_to_relay(this->news, now), 0};
    if (group.members.empty())
        return;
    std::vector<net::link_id> listeners;
    for (const auto& [link, peer] : this->open_links) {
        if (peer.sender == wire::role::entry)
            ++group.gateways;
        if (!contains(group.members, peer.vm))
            listeners.push_back(link);
    }
    this->links.send(listeners, group);
}

void standby::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->links.shutdown();
    this->admin.shutdown();
    this->management.shutdown();
}

} // namespace oleanderhinge::control
