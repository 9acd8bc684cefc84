#include "oleanderhinge/base/ids.hpp"

namespace oleanderhinge::base
{

const char* to_string(rank value)
{
    switch (value) {
    case rank::urgent:
        return "urgent";
    case rank::standard:
        return "standard";
    case rank::deferrable:
        return "deferrable";
    }
    return "unknown";
}

} // namespace oleanderhinge::base
