#include "cli/platform_session.h"

#include <random>

namespace cornelswitch {

namespace {

/// Longest wait of one iteration of the event loop; a response ends the wait earlier.
constexpr duration poll_timeout = std::chrono::milliseconds{50};

auto make_writer() -> record_header
{
    std::random_device device;
    auto boot = (std::uint64_t{device()} << 32U) | device() | 1U;
    return {instance_id{"cornelswitch-tool"}, boot_id{boot}, writer_sequence{}};
}

} // namespace

platform_session::platform_session(const endpoint& platform)
    : service_{loop_, {platform}}, log_{service_, [this] { loop_.run_once(poll_timeout); }},
      config_{log_, make_writer()}
{
}

} // namespace cornelswitch
