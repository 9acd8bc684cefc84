#include "oleanderhinge/wire/host_name.hpp"

#include <cctype>

namespace oleanderhinge::wire
{

std::string normalized_host(std::string_view host)
{
    std::string normalized(host.substr(0, host.find(':')));
    for (char& letter : normalized)
        letter = char(std::tolower(static_cast<unsigned char>(letter)));
    return normalized;
}

} // namespace oleanderhinge::wire
