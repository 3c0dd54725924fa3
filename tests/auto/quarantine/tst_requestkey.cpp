// Tests of the identity of requests.
#include "quarantine/requestkey.h"

#include <criterion/criterion.h>

#include <vector>

using namespace ebonywick;

namespace {

const request_parts original{.method = "POST",
                             .host = "a.example",
                             .target = "/o/x?page=1",
                             .customer = "c",
                             .body = "body"};

} // namespace

// Guards against a repetition that counts as another request, and against one request that is taken
// for another because they share most parts.
Test(request_key, differs_with_each_part)
{
    const request_key key = make_request_key(original);
    std::vector<request_parts> others(6, original);
    others[0].method = "PUT";
    others[1].host = "b.example";
    others[2].target = "/o/x?page=2";
    others[3].customer = "d";
    others[4].body = "bodz";
    others[5].target = "/o/y?page=1";
    for (const request_parts& it : others)
        cr_assert_neq(make_request_key(it).request, key.request);
    request_parts upper = original;
    upper.host = "A.Example";
    cr_assert(make_request_key(upper) == key);
}

// Guards against parts that are joined without a border: what moves from one part to the next must
// show.
Test(request_key, keeps_the_borders_of_the_parts)
{
    const request_key key = make_request_key(original);
    request_parts moved = original;
    moved.target = "/o/x?page=1b";
    moved.body = "ody";
    cr_assert_neq(make_request_key(moved).request, key.request);
    moved = original;
    moved.host = "a.examplec";
    moved.customer = "";
    cr_assert_neq(make_request_key(moved).resource, key.resource);
}

// Guards against a resource that is another one for each query or body, and against one that is
// shared by customers.
Test(request_key, resource_ignores_query_and_body)
{
    const std::uint64_t resource = make_request_key(original).resource;
    request_parts other = original;
    other.target = "/o/x";
    other.body = "";
    cr_assert_eq(make_request_key(other).resource, resource);
    cr_assert_neq(make_request_key(other).request, resource);
    other.customer = "d";
    cr_assert_neq(make_request_key(other).resource, resource);
}
