// Tests for the reply scanner.
#include "base/randomsource.h"
#include "upstreamlink/jsonscan.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace ebonywick;

// Guards against damaged replies being accepted: for every truncation and 40000
// seeded changes of a byte the result agrees with a full JSON parser.
Test(reply_scanner, agrees_with_a_full_parser_on_damaged_replies)
{
    const std::string text =
        "{\"hits\":[{\"q\":\"a\\\"\\u00e9 \xc3\xa9\xe2\x82\xac\xf0\x9f\x98\x80\","
        "\"n\":-1.50e+3,\"z\":[0,true,false,null,{}]}] , \"x\":[[],\"\"]}";
    cr_assert(scan_reply(text).has_value());
    const auto agree = [](const std::string& it) {
        const auto parsed = nlohmann::json::parse(it, nullptr, false);
        cr_assert(scan_reply(it).has_value() == parsed.is_object(), "%s", it.c_str());
    };
    for (std::size_t n = 0; n < text.size(); ++n)
        agree(text.substr(0, n));
    random_source random{11};
    const std::string bytes = "{}[]\",:\\0123456789.eE+-tfnul \x01\x7f\x80\xc0\xe0\xed\xf0\xff\xa0";
    for (int n = 0; n < 40'000; ++n) {
        std::string it = text;
        it[random.below(it.size())] = bytes[random.below(bytes.size())];
        if (random.below(2) == 0)
            it.erase(random.below(it.size()), 1);
        agree(it);
    }
}

// Guards against members being read from inside the hits, or with a wrong type.
Test(reply_scanner, reads_only_top_level_members_of_the_right_type)
{
    const auto fields = scan_reply(R"({"hits":[{"version":9,"not_run":true}],"version":1})");
    cr_assert(fields && fields->version == 1U && !fields->not_run);
    cr_assert(fields->hits == R"([{"version":9,"not_run":true}])");
    for (const char* wrong :
         {R"({"version":"1"})", R"({"version":-1})", R"({"version":1.5})", R"({"not_run":1})",
          R"({"versions":[1,"2"]})", R"({"shard":3})", R"({"version":99999999999999999999})"})
        cr_assert_not(scan_reply(wrong).has_value(), "%s", wrong);
    cr_assert_not(scan_reply(R"({"a":)" + std::string(100'000, '[')).has_value());
}
