#include "oleanderhinge/settings/node_keys.hpp"

namespace oleanderhinge::settings
{

schema node_keys()
{
    return {
        {"node", "vm", value_type::text, "", "", "", "name of this VM"},
        {"node", "region", value_type::text, "", "", "", "region of this VM"},
        {"node",
         "data_centre",
         value_type::text,
         "",
         "",
         "",
         "data centre of this VM"},
        {"node",
         "cluster_secret",
         value_type::text,
         "",
         "",
         "",
         "secret that all processes of the system share"},
        {"node",
         "threads",
         value_type::integer,
         "2",
         "1",
         "64",
         "threads that run the process"},
    };
}

} // namespace oleanderhinge::settings
