// Removes hop-by-hop header fields, which apply to one connection only.
//
// Example:
//   remove_connection_fields(request.base());
#pragma once

#include "oleanderhinge/gateway/protocol_adapter.hpp"

#include <vector>

namespace oleanderhinge::gateway
{

// Removes Connection and the fields that it names, Keep-Alive, TE, Trailer,
// Transfer-Encoding, Upgrade and the Proxy fields.
void remove_connection_fields(http_fields& fields);

// Copies the fields of an answer that the caller gets: all but the hop-by-hop
// fields and Content-Length.
std::vector<wire::header> end_to_end_fields(const http_fields& fields);

} // namespace oleanderhinge::gateway
