// Output of the command line for people.
//
// Example:
//   std::cout << describe_plan(answer.body);
#pragma once

#include "oleanderhinge/timeline/event.hpp"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace oleanderhinge::admin
{

// A plan with the fields that change, before and after.
std::string describe_plan(const boost::json::value& plan);

// A table of the named members of a list of objects, in columns.
std::string
table(const boost::json::array& rows, const std::vector<std::string>& columns);

// The status of a node, one member a line.
std::string describe_status(const boost::json::value& status);

// A problem with its faults or conflicts.
std::string describe_problem(const boost::json::value& problem);

// Events in their order, one a line.
std::string describe_events(const std::vector<timeline::event>& events);

// The events of /events; unknown kinds and malformed entries are left out.
std::vector<timeline::event> parse_events(const boost::json::value& list);

} // namespace oleanderhinge::admin
