#include "gateway/gateway_metrics.h"

#include <sstream>

namespace cornelswitch {

auto gateway_metrics::observe(const std::string& name, const std::string& label, duration latency)
    -> void
{
    auto& histogram_series = histograms_[{name, label}];
    auto ms = std::chrono::duration<double, std::milli>{latency}.count();
    histogram_series.buckets(ms);
    histogram_series.sum_ms += ms;
    ++histogram_series.count;
}

auto gateway_metrics::clear_gauges(std::string_view prefix) -> void
{
    std::erase_if(gauges_, [&](const auto& entry) { return entry.first.starts_with(prefix); });
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
    for (const auto& [key, histogram_series] : histograms_) {
        auto prefix = "cornelswitch_" + key.first;
        auto label = "{label=\"" + key.second + "\"";
        double cumulative = histogram_series.buckets.at(-1);
        for (int bin = 0; bin < histogram_series.buckets.axis().size(); ++bin) {
            cumulative += histogram_series.buckets.at(bin);
            out << prefix << "_bucket" << label << ",le=\""
                << histogram_series.buckets.axis().bin(bin).upper() << "\"} " << cumulative << '\n';
        }
        out << prefix << "_bucket" << label << ",le=\"+Inf\"} " << histogram_series.count << '\n';
        out << prefix << "_sum" << label << "} " << histogram_series.sum_ms << '\n';
        out << prefix << "_count" << label << "} " << histogram_series.count << '\n';
    }
    return out.str();
}

} // namespace cornelswitch
