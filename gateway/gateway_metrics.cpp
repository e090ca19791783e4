#include "gateway/gateway_metrics.h"

#include <sstream>

namespace cornelswitch {

auto gateway_metrics::observe(const std::string& name, const std::string& label, duration latency)
    -> void
{
    auto& it = histograms_[{name, label}];
    auto ms = std::chrono::duration<double, std::milli>{latency}.count();
    it.buckets(ms);
    it.sum_ms += ms;
    ++it.count;
}

auto gateway_metrics::text() const -> std::string
{
    std::ostringstream out;
    for (const auto& [name, value] : counters_) {
        out << "cornelswitch_" << name << ' ' << value << '\n';
    }
    for (const auto& [name, value] : gauges_) {
        out << "cornelswitch_" << name << ' ' << value << '\n';
    }
    for (const auto& [key, it] : histograms_) {
        auto prefix = "cornelswitch_" + key.first;
        auto label = "{label=\"" + key.second + "\"";
        double below = it.buckets.at(-1);
        for (int n = 0; n < it.buckets.axis().size(); ++n) {
            below += it.buckets.at(n);
            out << prefix << "_bucket" << label << ",le=\"" << it.buckets.axis().bin(n).upper()
                << "\"} " << below << '\n';
        }
        out << prefix << "_bucket" << label << ",le=\"+Inf\"} " << it.count << '\n';
        out << prefix << "_sum" << label << "} " << it.sum_ms << '\n';
        out << prefix << "_count" << label << "} " << it.count << '\n';
    }
    return out.str();
}

} // namespace cornelswitch
