// Log-likelihood ratios of failures and slow answers.
#include "rollout/versionjudge.h"

#include <algorithm>
#include <cmath>

namespace ebonywick {

namespace {

// Least estimate of the old version's share of bad answers; fewer are not distinguished.
constexpr double min_failure_share = 0.02;
constexpr double min_slow_share = 0.08;
// By how much the share of a bad version is larger.
constexpr double failure_gap = 0.15;
constexpr double slow_gap = 0.25;
constexpr double max_bad_share = 0.97;
// With fewer answers of the old version the estimate is cut, so that a version that always fails is
// found without any.
constexpr double min_compared_answers = 10;
constexpr double max_uncompared_share = 0.5;
// Standard deviations by which the estimate lies above the observed share.
constexpr double estimate_margin = 1.5;

double upper_share(double bad, double all, double least)
{
    const double share = (bad + 1) / (all + 2);
    const double deviation = std::sqrt(share * (1 - share) / (all + 2));
    const double most = all < min_compared_answers ? max_uncompared_share : max_bad_share;
    return std::clamp(share + estimate_margin * deviation, least, most);
}

double next_sum(double sum, double bad, double all, double usual, double gap)
{
    const double raised = std::min(usual + gap, max_bad_share);
    // The old version fails as a whole; nothing can be compared with it.
    if (raised <= usual)
        return sum;
    const double gain =
        bad * std::log(raised / usual) + (all - bad) * std::log((1 - raised) / (1 - usual));
    return std::max(0.0, sum + gain);
}

double growth(std::uint32_t now, std::uint32_t before)
{
    return now > before ? static_cast<double>(now - before) : 0.0;
}

} // namespace

void version_judge::judge(const answer_counts& target, const answer_counts& others)
{
    const double failed = growth(target.failed, judged_.failed);
    const double answers = std::max(failed, growth(target.answers, judged_.answers));
    const double slow = growth(target.slow, judged_.slow);
    const double timed = std::max(slow, growth(target.timed, judged_.timed));
    judged_ = target;
    failure_sum_ =
        next_sum(failure_sum_, failed, answers,
                 upper_share(others.failed, others.answers, min_failure_share), failure_gap);
    slow_sum_ = next_sum(slow_sum_, slow, timed,
                         upper_share(others.slow, others.timed, min_slow_share), slow_gap);
}

double version_judge::score() const
{
    return std::max(failure_sum_, slow_sum_);
}

} // namespace ebonywick
