// Whether an idle connection may be used for another request.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace oleanderhinge::net
{

// False if the peer has closed the connection or has sent bytes on it: a second
// copy of an earlier answer would be taken for the answer to the next request.
// Leaves the socket non-blocking.
bool is_quiet(boost::asio::ip::tcp::socket& socket);

} // namespace oleanderhinge::net
