#include "oleanderhinge/net/internal/listen.hpp"

namespace oleanderhinge::net::internal
{

using boost::asio::ip::tcp;

base::result<wire::endpoint>
open_acceptor(tcp::acceptor& acceptor, const wire::endpoint& local)
{
    try {
        const tcp::endpoint address(
            boost::asio::ip::make_address(local.address), local.port);
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        return wire::endpoint{local.address, acceptor.local_endpoint().port()};
    } catch (const std::exception& e) {
        return base::fail(
            base::error_code::io,
            "cannot listen on " + local.address + ":" +
                std::to_string(local.port) + ": " + e.what());
    }
}

} // namespace oleanderhinge::net::internal
