#include "core/memory_reservation.h"

#include <utility>

namespace cornelswitch {

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : account_{other.account_}, kind_{other.kind_}, bytes_{std::exchange(other.bytes_, 0)}
{
}

auto memory_reservation::operator=(memory_reservation&& other) noexcept -> memory_reservation&
{
    if (this != &other) {
        resize(0);
        account_ = other.account_;
        kind_ = other.kind_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

auto memory_reservation::try_resize(std::uint64_t bytes, memory_use use) -> bool
{
    if (bytes > bytes_ && !account_->fits(bytes - bytes_, use)) {
        account_->note_refusal();
        return false;
    }
    resize(bytes);
    return true;
}

} // namespace cornelswitch
