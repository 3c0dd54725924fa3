// Checks the JSON encoding of order records and the validation of their keys.
#include "orders/orderkey.h"
#include "orders/orderrecordcodec.h"

#include <boost/leaf/handle_errors.hpp>
#include <criterion/criterion.h>

using namespace ebonywick;

namespace {

order_record sample()
{
    return {service_name{"zamowienia"}, "key \"1\"",       request_id{0x1, 0xf000000000000002},
            0xfedcba9876543210,         order_state::done, "{\"sheets\":3}"};
}

std::optional<order_record> decode(const std::string& text)
{
    return leaf::try_handle_all(
        [&text]() -> result<std::optional<order_record>> {
            BOOST_LEAF_AUTO(record, decode_order_record(text));
            return std::optional{record};
        },
        [] { return std::optional<order_record>{}; });
}

} // namespace

// Failure: a record decodes to other values, so that an attempt does not recognise its
// own one.
Test(order_record_codec, decoding_restores_the_record)
{
    cr_assert(decode(encode(sample())) == sample());
}

// Failure: encoding a reply that is not UTF-8 throws, and the order is not recorded.
Test(order_record_codec, reply_with_invalid_utf8_is_encoded)
{
    order_record record = sample();
    record.outcome = "\xff";
    cr_assert(decode(encode(record)).has_value());
}

// Failure: a damaged record decodes to default values, which would allow a second run.
Test(order_record_codec, damaged_records_are_rejected)
{
    const std::string good = encode(sample());
    cr_assert_not(decode("[]").has_value());
    for (const char* it : {"\"done\"", "f000000000000002", "fedcba9876543210", "\"attempt\""}) {
        std::string bad = good;
        const std::size_t at = bad.find(it);
        cr_assert_neq(at, std::string::npos);
        cr_assert_not(decode(bad.replace(at + 1, 1, "?")).has_value(), "accepted %s", bad.c_str());
    }
}

// Failure: two different orders use the same record.
Test(order_key, service_and_key_are_separated)
{
    cr_assert(order_record_key(service_name{"ab"}, "c") !=
              order_record_key(service_name{"a"}, "bc"));
    cr_assert_eq(order_record_key(service_name{"a"}, "b").size(),
                 std::string{"ebonywick/orders/"}.size() + 32);
}

// Failure: an empty key is accepted, so that all orders without a key count as one, or
// a valid key is rejected.
Test(order_key, length_and_characters_are_checked)
{
    cr_assert(check_order_key("").has_value());
    cr_assert_not(check_order_key("a").has_value());
    cr_assert_not(check_order_key(std::string(200, '~')).has_value());
    cr_assert(check_order_key(std::string(201, '~')).has_value());
    cr_assert(check_order_key("a\nb").has_value());
    cr_assert(check_order_key("\xc4\x85").has_value());
}
