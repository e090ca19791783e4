#include "routing/retry_budget.h"

#include <algorithm>

namespace cornelswitch {

namespace {

constexpr std::uint32_t token_hundredths = 100;

} // namespace

retry_budget::retry_budget(std::uint32_t percent)
    : percent_{percent}, hundredths_{percent > 0 ? token_hundredths : 0}
{
}

auto retry_budget::on_request() -> void
{
    hundredths_ = std::min(hundredths_ + percent_, capacity * token_hundredths);
}

auto retry_budget::try_spend() -> bool
{
    if (percent_ == 0 || hundredths_ < token_hundredths) {
        return false;
    }
    hundredths_ -= token_hundredths;
    return true;
}

auto retry_budget::refund() -> void
{
    hundredths_ = std::min(hundredths_ + token_hundredths, capacity * token_hundredths);
}

} // namespace cornelswitch
