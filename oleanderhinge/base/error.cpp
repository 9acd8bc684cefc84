#include "oleanderhinge/base/error.hpp"

namespace oleanderhinge::base
{

const char* to_string(error_code code)
{
    switch (code) {
    case error_code::malformed:
        return "malformed";
    case error_code::too_large:
        return "too_large";
    case error_code::unsupported_version:
        return "unsupported_version";
    case error_code::unauthenticated:
        return "unauthenticated";
    case error_code::not_found:
        return "not_found";
    case error_code::out_of_range:
        return "out_of_range";
    case error_code::io:
        return "io";
    case error_code::no_space:
        return "no_space";
    case error_code::corrupt:
        return "corrupt";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    }
    return "unknown";
}

} // namespace oleanderhinge::base
