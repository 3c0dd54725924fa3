// SipHash-2-4, after the description by Aumasson and Bernstein.
#include "customers/keydigest.h"

#include <bit>

namespace ebonywick {

namespace {

constexpr std::size_t word_bytes = 8;
constexpr int block_rounds = 2;
constexpr int final_rounds = 4;
// Separates the two halves of a digest.
constexpr std::uint64_t high_half = 0x9e3779b97f4a7c15;

struct sip_state
{
    std::uint64_t v0;
    std::uint64_t v1;
    std::uint64_t v2;
    std::uint64_t v3;

    void rounds(int count)
    {
        for (int it = 0; it < count; ++it) {
            v0 += v1;
            v2 += v3;
            v1 = std::rotl(v1, 13) ^ v0;
            v3 = std::rotl(v3, 16) ^ v2;
            v0 = std::rotl(v0, 32);
            v2 += v1;
            v0 += v3;
            v1 = std::rotl(v1, 17) ^ v2;
            v3 = std::rotl(v3, 21) ^ v0;
            v2 = std::rotl(v2, 32);
        }
    }
    void add(std::uint64_t word)
    {
        v3 ^= word;
        rounds(block_rounds);
        v0 ^= word;
    }
};

// Little-endian, of at most 8 bytes.
std::uint64_t word_of(std::string_view bytes)
{
    std::uint64_t out = 0;
    for (std::size_t it = 0; it < bytes.size(); ++it)
        out |= std::uint64_t{static_cast<unsigned char>(bytes[it])} << (8 * it);
    return out;
}

} // namespace

std::uint64_t siphash(std::string_view text, const digest_secret& secret)
{
    sip_state state{secret.first ^ 0x736f6d6570736575, secret.second ^ 0x646f72616e646f6d,
                    secret.first ^ 0x6c7967656e657261, secret.second ^ 0x7465646279746573};
    const std::uint64_t length = text.size();
    while (text.size() >= word_bytes) {
        state.add(word_of(text.substr(0, word_bytes)));
        text.remove_prefix(word_bytes);
    }
    state.add(word_of(text) | length << 56U);
    state.v2 ^= 0xff;
    state.rounds(final_rounds);
    return state.v0 ^ state.v1 ^ state.v2 ^ state.v3;
}

key_digest digest_of(std::string_view key, const digest_secret& secret)
{
    const digest_secret other{secret.first ^ high_half, secret.second};
    return {siphash(key, secret), siphash(key, other)};
}

} // namespace ebonywick
