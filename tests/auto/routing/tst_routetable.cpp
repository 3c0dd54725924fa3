// Tests of the route lookup and of the number of required shards.
#include "routing/routetable.h"

#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route out;
    out.name = name;
    out.host = host;
    out.path_prefix = prefix;
    out.target = service_choice{{{service_name{name}, 1.0}}};
    return out;
}

std::string found(const route_table& table, std::string_view host, std::string_view path)
{
    const route* it = table.find(host, path);
    return it == nullptr ? "" : it->name;
}

} // namespace

// Guards against a shorter prefix that precedes a longer one and takes its requests.
Test(route_table, longest_prefix_wins)
{
    const route_table table{
        {1,
         {make_route("all", "a.example", "/"), make_route("long", "a.example", "/x/y/"),
          make_route("short", "a.example", "/x/")},
         {},
         {}}};
    cr_assert(found(table, "a.example", "/x/y/z") == "long");
    cr_assert(found(table, "a.example", "/x/z") == "short");
    cr_assert(found(table, "a.example", "/z") == "all");
}

// Guards against matching the route of another host, and against missing a route because of
// the port or the case of the host.
Test(route_table, host_is_compared_without_case_and_port)
{
    const route_table table{{1, {make_route("a", "A.example", "/x/")}, {}, {}}};
    cr_assert(found(table, "a.EXAMPLE:8080", "/x/1") == "a");
    cr_assert(found(table, "b.example", "/x/1").empty());
}

// Guards against a prefix that matches in the middle of a path segment or in the query
// string.
Test(route_table, prefix_matches_whole_path_segments)
{
    const route_table table{{1, {make_route("a", "h", "/x/y/")}, {}, {}}};
    cr_assert(found(table, "h", "/x/yy").empty());
    cr_assert(found(table, "h", "/x?q=/x/y/").empty());
    cr_assert(found(table, "h", "/x/y/?q=1") == "a");
}

// Guards against rounding errors that require one shard too many or too few.
Test(shard_set, required_shards_rounds_up)
{
    shard_set set;
    set.shards.resize(10);
    set.min_shard_ratio = 0.89;
    cr_assert(set.required_shards() == 9);
    set.min_shard_ratio = 0.75;
    cr_assert(set.required_shards() == 8);
    set.min_shard_ratio = 0.9;
    cr_assert(set.required_shards() == 9);
    set.min_shard_ratio = 0.0;
    cr_assert(set.required_shards() == 1);
}
