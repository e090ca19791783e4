#pragma once

namespace cornelswitch {

/// Whether a server may send `status` in response to a request. 101 is no response, because no
/// request asks for another protocol.
constexpr auto is_response_status(int status) -> bool
{
    return status >= 100 && status <= 599 && status != 101;
}

/// Whether callers take `status` as proof that their request was not executed and never will be.
constexpr auto promises_no_execution(int status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace cornelswitch
