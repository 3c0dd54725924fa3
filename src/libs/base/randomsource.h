// Random numbers for decisions. The owner provides the seed, so that a replay with the same
// seed makes the same decisions.
#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <random>

namespace ebonywick {

/// Pseudo-random generator. Not thread-safe: each independently locked object has its own.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// Uniform over all 64-bit values.
    std::uint64_t next() { return engine_(); }

    /// Uniform in [0, bound). `bound` must not be 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(engine_);
    }

    /// Uniform in [0, 1).
    double uniform() { return std::uniform_real_distribution<double>{0.0, 1.0}(engine_); }

    request_id next_request_id()
    {
        const std::uint64_t high = engine_();
        return request_id{high, engine_()};
    }

private:
    std::mt19937_64 engine_;
};

} // namespace ebonywick
