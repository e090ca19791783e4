#pragma once

#include "core/error.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>

namespace cornelswitch {

/// SipHash-2-4 with 128 bits and a random secret. Without the secret, nobody can compute the digest
/// of a text or find two texts with the same digest.
class keyed_digest {
public:
    static constexpr std::size_t digest_bytes = 16;
    using value = std::array<unsigned char, digest_bytes>;

    /// Draws a secret. Errors: `unavailable` when the cryptographic library lacks the algorithm or
    /// random bytes.
    static auto create() -> result<std::shared_ptr<const keyed_digest>>;

    keyed_digest(const keyed_digest&) = delete;
    auto operator=(const keyed_digest&) -> keyed_digest& = delete;
    ~keyed_digest();

    auto of(std::string_view text) const -> value;
    /// Compares in a time that does not depend on the contents.
    static auto equals(const value& left, const value& right) -> bool;

private:
    struct state;
    explicit keyed_digest(std::unique_ptr<state> initial);

    std::unique_ptr<state> state_;
};

} // namespace cornelswitch
