#pragma once

namespace cornelswitch {

/// Whether a server may send `status` in response to a request. 101 is no response, because no
/// request asks for another protocol.
constexpr auto is_response_status(int status) -> bool
{
    return status >= 100 && status <= 599 && status != 101;
}

} // namespace cornelswitch
