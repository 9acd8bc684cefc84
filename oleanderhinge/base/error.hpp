// Errors inside the system, reported through Boost.LEAF.
//
// Functions that can fail return `result<T>`. The error object is an `error`
// with a code and one sentence that names the offending thing and its value.
//
// Example:
//   if (size > limit)
//       return fail(error_code::too_large, "frame of 9 MiB, limit 1 MiB");
#pragma once

#include <boost/leaf.hpp>

#include <cstdint>
#include <exception>
#include <string>
#include <utility>

namespace oleanderhinge::base
{

template <class T>
using result = boost::leaf::result<T>;

enum class error_code : std::uint8_t {
    malformed,
    too_large,
    unsupported_version,
    unauthenticated,
    not_found,
    out_of_range,
    io,
    // The disk is full.
    no_space,
    corrupt,
    conflict,
    unavailable,
};

const char* to_string(error_code code);

// The error object that `result` carries.
struct error {
    error_code code = error_code::malformed;
    std::string detail;
};

using error_id = boost::leaf::error_id;

// An error result with an `error` attached.
inline error_id fail(error_code code, std::string detail)
{
    return boost::leaf::new_error(error{code, std::move(detail)});
}

// Runs `function`, which returns `result<T>`, and passes an error, if any, to
// `on_error(const error&)`, which returns `T`. An exception counts as an error
// with code `io` and its text.
template <class Function, class OnError>
auto handle(Function&& function, OnError&& on_error)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function),
        [&](const error& e) { return on_error(e); },
        [&](boost::leaf::catch_<std::exception> caught) {
            return on_error(error{error_code::io, caught.matched.what()});
        },
        [&] {
            return on_error(error{error_code::malformed, "unknown error"});
        });
}

} // namespace oleanderhinge::base
