#pragma once

#include "core/memory_account.h"

#include <cstdint>

namespace cornelswitch {

/// Bytes held in an account. They are released when the reservation is destroyed.
class memory_reservation {
public:
    memory_reservation() = default;
    memory_reservation(memory_account& account, memory_kind kind) : account_{&account}, kind_{kind}
    {
    }
    memory_reservation(const memory_reservation&) = delete;
    auto operator=(const memory_reservation&) -> memory_reservation& = delete;
    memory_reservation(memory_reservation&& other) noexcept;
    auto operator=(memory_reservation&& other) noexcept -> memory_reservation&;
    ~memory_reservation() { resize(0); }

    /// Holds `bytes` from now on, if the account has room for them or they are not more than
    /// before.
    auto try_resize(std::uint64_t bytes, memory_use use) -> bool;
    /// Holds `bytes` from now on, also beyond the limit: for bytes that have arrived already.
    auto resize(std::uint64_t bytes) -> void
    {
        if (bytes > bytes_) {
            account_->add(kind_, bytes - bytes_);
        } else if (bytes < bytes_) {
            account_->subtract(kind_, bytes_ - bytes);
        }
        bytes_ = bytes;
    }
    auto bytes() const -> std::uint64_t { return bytes_; }

private:
    memory_account* account_{nullptr};
    memory_kind kind_{memory_kind::request_body};
    std::uint64_t bytes_{0};
};

} // namespace cornelswitch
