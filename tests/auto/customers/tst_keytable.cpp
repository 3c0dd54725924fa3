// Tests of key digests and of the table of keys.
#include "customers/keytable.h"

#include <criterion/criterion.h>

#include <string>

using namespace ebonywick;

namespace {

constexpr digest_secret secret{0x0706050403020100, 0x0f0e0d0c0b0a0908};

customer_policy customer(const std::string& name, std::vector<std::string> keys)
{
    return {.name = name, .keys = std::move(keys)};
}

} // namespace

// Failure: the digest is another function than stated. The value is the test vector of the
// authors of SipHash.
Test(key_digest, equals_the_published_value)
{
    const std::string text{"\x00\x01\x02\x03\x04\x05\x06\x07\x08\x09\x0a\x0b\x0c\x0d\x0e", 15};
    cr_assert(siphash(text, secret) == 0xa129ca6149be45e5);
}

// Failure: digests do not depend on the secret of the process, so that colliding keys could be
// prepared; or both halves are the same.
Test(key_digest, depends_on_the_secret)
{
    const key_digest it = digest_of("key", secret);
    cr_assert(it != digest_of("key", {secret.first, 1}));
    cr_assert(it != digest_of("key", {1, secret.second}));
    cr_assert(it.low != it.high);
}

// Failure: a key of one customer is taken for that of another, or a prefix or an empty text for a
// key.
Test(key_table, finds_the_customer_that_holds_a_key)
{
    const std::vector<customer_policy> all{customer("a", {"one", "two"}), customer("b", {"three"}),
                                           customer("c", {})};
    const key_table table{all, secret};
    cr_assert(table.find("one", secret) == 0 && table.find("two", secret) == 0);
    cr_assert(table.find("three", secret) == 1);
    for (const char* it : {"", "on", "one ", "ONE", "four", "a"})
        cr_assert(table.find(it, secret) == key_table::no_customer, "%s", it);
    cr_assert(key_table{}.find("one", secret) == key_table::no_customer);
}

// Failure: of two customers with the same key one gets the requests of the other.
Test(key_table, a_key_of_two_customers_belongs_to_neither)
{
    const std::vector<customer_policy> all{customer("a", {"one", "one"}), customer("b", {"two"}),
                                           customer("c", {"two"}), customer("d", {"two"})};
    const key_table table{all, secret};
    cr_assert(table.find("one", secret) == 0);
    cr_assert(table.find("two", secret) == key_table::no_customer);
    cr_assert(table.ambiguous_keys() == 1 && table.size() == 1);
}

// Failure: 100,000 keys take more memory than documented, or one of them is not found.
Test(key_table, holds_a_hundred_thousand_keys_in_the_stated_memory)
{
    std::vector<customer_policy> all;
    for (int it = 0; it < 1000; ++it) {
        all.push_back(customer(std::to_string(it), {}));
        for (int key = 0; key < 100; ++key)
            all.back().keys.push_back("key-" + std::to_string(it * 100 + key));
    }
    const key_table table{all, secret};
    cr_assert(table.size() == 100'000);
    cr_assert(table.memory_bytes() <= 6'300'000);
    for (int it = 0; it < 100'000; it += 7)
        cr_assert(table.find("key-" + std::to_string(it), secret) ==
                  static_cast<std::size_t>(it / 100));
    cr_assert(table.find("key-100000", secret) == key_table::no_customer);
}
