#include "adapters/keyed_digest.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <utility>

namespace cornelswitch {

namespace {

constexpr std::size_t secret_bytes = 16;

auto unavailable(std::string message) -> error
{
    return {error_code::unavailable, "keyed-digest", {}, std::move(message)};
}

} // namespace

struct keyed_digest::state {
    state() = default;
    state(const state&) = delete;
    auto operator=(const state&) -> state& = delete;
    ~state()
    {
        EVP_MAC_CTX_free(context);
        EVP_MAC_free(algorithm);
    }

    EVP_MAC* algorithm{nullptr};
    EVP_MAC_CTX* context{nullptr};
    std::array<unsigned char, secret_bytes> secret{};
};

keyed_digest::keyed_digest(std::unique_ptr<state> initial) : state_{std::move(initial)} {}

keyed_digest::~keyed_digest() = default;

auto keyed_digest::create() -> result<std::shared_ptr<const keyed_digest>>
{
    auto made = std::make_unique<state>();
    made->algorithm = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
    if (made->algorithm == nullptr) {
        return unavailable("the cryptographic library lacks SipHash");
    }
    made->context = EVP_MAC_CTX_new(made->algorithm);
    std::size_t size = digest_bytes;
    std::array<OSSL_PARAM, 2> parameters{OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &size),
                                         OSSL_PARAM_construct_end()};
    if (made->context == nullptr || EVP_MAC_CTX_set_params(made->context, parameters.data()) != 1) {
        return unavailable("SipHash cannot be initialized");
    }
    if (RAND_bytes(made->secret.data(), secret_bytes) != 1) {
        return unavailable("no random bytes for the secret");
    }
    return std::shared_ptr<const keyed_digest>{new keyed_digest{std::move(made)}};
}

auto keyed_digest::of(std::string_view text) const -> value
{
    value out{};
    std::size_t size = 0;
    // These calls do not fail after `create` has succeeded with the same context.
    EVP_MAC_init(state_->context, state_->secret.data(), secret_bytes, nullptr);
    EVP_MAC_update(state_->context, reinterpret_cast<const unsigned char*>(text.data()),
                   text.size());
    EVP_MAC_final(state_->context, out.data(), &size, out.size());
    return out;
}

auto keyed_digest::equals(const value& left, const value& right) -> bool
{
    return CRYPTO_memcmp(left.data(), right.data(), digest_bytes) == 0;
}

} // namespace cornelswitch
