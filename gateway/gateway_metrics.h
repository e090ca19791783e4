#pragma once

#include "core/clock.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cornelswitch {

/// Counters, gauges and latency histograms of one instance.
class gateway_metrics {
public:
    /// Adds `n` to counter `name`.
    auto count(const std::string& name, std::uint64_t n = 1) -> void { counters_[name] += n; }
    /// Sets gauge `name`.
    auto set(const std::string& name, double value) -> void { gauges_[name] = value; }
    /// Removes all gauges whose names begin with `prefix`.
    auto clear_gauges(std::string_view prefix) -> void;
    /// Adds one latency to histogram `name` with `label`.
    auto observe(const std::string& name, const std::string& label, duration latency) -> void;
    /// Returns all metrics in the text format of Prometheus.
    auto text() const -> std::string;

private:
    /// Buckets from 1 ms to 10 s, four for each power of ten.
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = decltype(boost::histogram::make_histogram(axis{16, 1.0, 10'000.0}));

    struct series {
        histogram buckets{boost::histogram::make_histogram(axis{16, 1.0, 10'000.0})};
        double sum_ms{0};
        std::uint64_t count{0};
    };

    std::map<std::string, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<std::pair<std::string, std::string>, series> histograms_;
};

} // namespace cornelswitch
