// Sequential test of a new version's answers against those of the old one over the same time.
#pragma once

#include "rollout/rolloutreport.h"

namespace ebonywick {

/// Cumulative sums of log-likelihood ratios of one route, or of all. Reset at 0, so that a version
/// that turns bad late is found as soon as one that was bad at once.
///
/// The hypotheses are the share of bad answers of the old version, estimated upwards, and that
/// share plus a gap. A good version of which n answers are judged is called bad with a probability
/// of at most 2 n exp(-threshold).
class version_judge
{
public:
    /// One in a thousand for a thousand answers of two routes and all together, both sums.
    static constexpr double threshold = 15.6;

    /// Judges what the counts contain beyond those of the last call.
    void judge(const answer_counts& target, const answer_counts& others);
    /// The larger of the two sums, at least 0.
    [[nodiscard]] double score() const;
    [[nodiscard]] bool bad() const { return score() >= threshold; }

private:
    answer_counts judged_;
    double failure_sum_ = 0;
    double slow_sum_ = 0;
};

} // namespace ebonywick
