// Awaitable wrappers of the replicated log, for the coroutines of the admin
// API.
//
// Example:
//   auto result = co_await propose(log, encode(command));
//   if (!co_await read_barrier(log)) ...
#pragma once

#include "oleanderhinge/replica/replicated_log.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace oleanderhinge::control
{

// Each resumes on the executor of the calling coroutine, independent of the
// thread on which the log calls back. They have no timeout of their own; the
// log limits the time.
boost::asio::awaitable<replica::propose_result>
propose(replica::replicated_log& log, std::string command);
boost::asio::awaitable<bool> read_barrier(replica::replicated_log& log);
boost::asio::awaitable<replica::propose_result>
add_member(replica::replicated_log& log, replica::member added);
boost::asio::awaitable<replica::propose_result>
remove_member(replica::replicated_log& log, base::vm_id removed);

} // namespace oleanderhinge::control
