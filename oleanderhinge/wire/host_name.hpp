// The host of a request or a route, in the form in which hosts are compared.
//
// Example:
//   normalized_host("Desk.Example:8080") == "desk.example"
#pragma once

#include <string>
#include <string_view>

namespace oleanderhinge::wire
{

// Lower case and without a port: hosts that differ only in these are the same.
std::string normalized_host(std::string_view host);

} // namespace oleanderhinge::wire
