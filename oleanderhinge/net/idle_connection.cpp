#include "oleanderhinge/net/idle_connection.hpp"

#include <boost/asio/buffer.hpp>

namespace oleanderhinge::net
{

namespace asio = boost::asio;

bool is_quiet(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    socket.receive(
        asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, failed);
    return failed == asio::error::would_block;
}

} // namespace oleanderhinge::net
