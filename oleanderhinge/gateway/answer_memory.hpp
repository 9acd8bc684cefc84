// Memory for answers that have arrived in part, over all requests of a gateway.
// Servers that write without end leave room for the answers of others
// (net/shared_memory.hpp).
//
// Example:
//   answer_share share(memory);
//   while (read(body))
//       if (!share.resize(body.capacity()))
//           return too_large;
#pragma once

#include "oleanderhinge/net/shared_memory.hpp"

namespace oleanderhinge::gateway
{

using answer_memory = net::shared_memory;
using answer_share = net::memory_share;

} // namespace oleanderhinge::gateway
