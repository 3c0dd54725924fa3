// Tests that the examples in the repository are valid and its reference pages up to date.
#include "settings/reference.h"
#include "settings/yamlreader.h"

#include <criterion/criterion.h>

#include <fstream>
#include <iterator>

using namespace ebonywick;

namespace {

std::string read_file(const std::string& path)
{
    std::ifstream in{std::string{EBONYWICK_ROOT} + "/" + path};
    cr_assert(in.good(), "%s", path.c_str());
    return {std::istreambuf_iterator<char>{in}, {}};
}

std::size_t upstream_count(const configuration& config)
{
    std::size_t out = 0;
    for (const auto& service : config.services)
        for (const auto& shard : service.shard_maps[0].shards)
            out += shard.replicas.size();
    return out;
}

} // namespace

// Failure: an example that operators copy is refused, or lacks services or upstreams.
Test(examples, are_valid)
{
    for (const auto& [path, expected] :
         {std::pair{"examples/kalkomania.yaml", 105U}, {"examples/kartoteka.yaml", 112U}}) {
        const auto read = read_declaration(read_file(path), path);
        cr_assert_eq(read.index(), 0U, "%s", path);
        cr_assert_eq(upstream_count(std::get<0>(read)), expected);
        cr_assert_eq(std::get<0>(read).services.size(), 4U);
    }
    cr_assert_eq(read_node_settings(read_file("examples/node.yaml"), "").index(), 0U);
}

// Failure: the reference pages describe the settings of an earlier version.
Test(reference, pages_are_up_to_date)
{
    cr_assert(read_file("docs/reference-settings.md") == settings_reference(),
              "run `ebonywick reference settings > docs/reference-settings.md`");
    cr_assert(read_file("docs/reference-declaration.md") == declaration_reference(),
              "run `ebonywick reference declaration > docs/reference-declaration.md`");
}
