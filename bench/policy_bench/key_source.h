#pragma once

#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cornelswitch::bench {

/// Keys with Zipf-distributed popularity. The set of hot keys can be changed.
class key_source {
public:
    /// Number of the most popular keys that `change_hot_keys` replaces.
    static constexpr std::size_t hot_keys = 28;

    key_source(std::size_t keys, double exponent, std::uint64_t seed);

    /// Index of a random key, drawn by popularity.
    auto draw(random_engine& random) const -> std::size_t;
    /// Swaps the popularity of each hot key with that of a random other key.
    auto change_hot_keys(random_engine& random) -> void;
    auto name(std::size_t key) const -> const std::string& { return names_[key]; }
    /// Share of the requests that go to the key.
    auto share(std::size_t key) const -> double;
    auto size() const -> std::size_t { return names_.size(); }

private:
    std::vector<std::string> names_;
    std::vector<double> cumulative_;
    std::vector<std::size_t> by_rank_;
    std::vector<std::size_t> rank_of_;
};

} // namespace cornelswitch::bench
