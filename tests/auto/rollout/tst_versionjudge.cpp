// Error rates of the comparison of two versions: seeds of good and bad versions.
#include "rollout/versionjudge.h"

#include <criterion/criterion.h>

#include <optional>
#include <random>

using namespace ebonywick;

namespace {

// Shares of bad answers.
struct behaviour
{
    double failed = 0;
    double slow = 0;
};

// One answer a message; a version that turns bad does so at `turns_at`.
struct trial
{
    behaviour usual;
    behaviour target;
    std::uint32_t answers = 500;
    std::uint32_t turns_at = 0;
};

constexpr std::uint32_t others_per_target = 9;

answer_counts draw(const behaviour& of, std::uint32_t count, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> uniform;
    answer_counts out;
    for (std::uint32_t it = 0; it < count; ++it) {
        const bool failed = uniform(random) < of.failed;
        const bool slow = !failed && uniform(random) < of.slow;
        out += {1, failed ? 1U : 0U, failed ? 0U : 1U, slow ? 1U : 0U};
    }
    return out;
}

// Bad answers of the target version until the verdict; nothing if there is none.
std::optional<std::uint32_t> bad_until_verdict(const trial& of, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    version_judge judge;
    answer_counts target;
    answer_counts others;
    std::uint32_t bad = 0;
    for (std::uint32_t it = 0; it < of.answers; ++it) {
        const bool turned = it >= of.turns_at;
        const answer_counts drawn = draw(turned ? of.target : of.usual, 1, random);
        bad += turned ? drawn.failed + drawn.slow : 0;
        target += drawn;
        others += draw(of.usual, others_per_target, random);
        judge.judge(target, others);
        if (judge.bad())
            return bad;
    }
    return std::nullopt;
}

// Verdicts among `seeds` plays in which the verdict came at the 50th bad answer or before.
int verdicts_in_time(const trial& of, int seeds)
{
    constexpr std::uint32_t bad_limit = 50;
    int out = 0;
    for (int seed = 0; seed < seeds; ++seed) {
        const auto bad = bad_until_verdict(of, static_cast<std::uint64_t>(seed));
        out += bad && *bad <= bad_limit ? 1 : 0;
    }
    return out;
}

constexpr int seed_count = 3000;
// One in a thousand.
constexpr int allowed_errors = seed_count / 1000;

} // namespace

// A version is rolled back although it is as good as the old one.
Test(version_judge, good_versions_are_kept)
{
    for (const behaviour usual :
         {behaviour{0, 0}, behaviour{0.02, 0.05}, behaviour{0.1, 0.1}, behaviour{0.3, 0.2}}) {
        int verdicts = 0;
        for (int seed = 0; seed < seed_count; ++seed)
            verdicts += bad_until_verdict({usual, usual}, static_cast<std::uint64_t>(seed)) ? 1 : 0;
        cr_assert_leq(verdicts, allowed_errors, "%d of %d", verdicts, seed_count);
    }
}

// A version that fails a part of the requests is not found before its 50th bad answer.
Test(version_judge, failing_versions_are_found_before_the_50th_bad_answer)
{
    for (const double failed : {0.25, 0.5, 1.0}) {
        const int found = verdicts_in_time({{0.01, 0.05}, {failed, 0.05}}, seed_count);
        cr_assert_geq(found, seed_count - allowed_errors, "%g: %d", failed, found);
    }
}

Test(version_judge, slow_versions_are_found_before_the_50th_bad_answer)
{
    for (const double slow : {0.4, 0.6, 1.0}) {
        const int found = verdicts_in_time({{0.01, 0.04}, {0.01, slow}}, seed_count);
        cr_assert_geq(found, seed_count - allowed_errors, "%g: %d", slow, found);
    }
}

// Many good answers hide a version that turns bad late.
Test(version_judge, versions_that_turn_bad_late_are_found_as_fast)
{
    const int found = verdicts_in_time({{0.01, 0.05}, {0.5, 0.05}, 2000, 1500}, seed_count / 3);
    cr_assert_geq(found, seed_count / 3 - 1, "%d", found);
}

// A version that always fails is kept because nothing can be compared with it.
Test(version_judge, a_version_that_always_fails_is_found_without_the_old_one)
{
    version_judge judge;
    for (std::uint32_t it = 1; it <= 100; ++it)
        judge.judge({it, it, 0, 0}, {});
    cr_assert(judge.bad());
}
