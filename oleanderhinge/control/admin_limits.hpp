// Limits on the callers of the admin API.
//
// Example:
//   net::http_server admin(io, admin_limits(), handler);
#pragma once

#include "oleanderhinge/net/http_server.hpp"

namespace oleanderhinge::control
{

net::http_limits admin_limits();

} // namespace oleanderhinge::control
