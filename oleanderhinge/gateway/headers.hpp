// Helpers for header fields that HTTP itself defines.
//
// Example:
//   remove_connection_fields(request.base());
#pragma once

#include "oleanderhinge/gateway/protocol_adapter.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhinge::gateway
{

// Removes Connection and the fields that it names, Keep-Alive, TE, Trailer,
// Transfer-Encoding, Upgrade and the Proxy fields.
void remove_connection_fields(http_fields& fields);

// Copies the fields of an answer that the caller gets: all but the hop-by-hop
// fields and Content-Length.
std::vector<wire::header> end_to_end_fields(const http_fields& fields);

// The values of all fields of this name, joined by ", ".
std::string
joined_values(const http_fields& fields, boost::beast::http::field name);

// The value of the fields of this name, or their distinct values joined by ", "
// if they differ.
std::string distinct_values(const http_fields& fields, std::string_view name);

// The mark in the fields of this name.
server_mark read_mark(const http_fields& fields, std::string_view name);

// Retry-After in seconds with two decimals, rounded up.
wire::header make_retry_after(std::chrono::milliseconds time);

} // namespace oleanderhinge::gateway
